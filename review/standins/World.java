package standins;

import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

/** One deployment on loopback: real controllers, and stand-ins for everything around them. */
final class World {
    static final class Node {
        String member;
        String domain;
        String userAddress;
        String peerAddress;
        Path settings;
        Process process;
    }

    final List<Node> nodes = new ArrayList<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final Map<String, Double> limits = new LinkedHashMap<>();
    final Map<String, Double> guarantees = new LinkedHashMap<>();
    final Rules rules = new Rules(this);
    final long startedAt = Threads.now();
    final Path folder;
    private final PrintWriter record;
    Store store;
    Cloud cloud;
    long seed = 1;
    double reportS = 1;
    double leaseS = 10;
    double cancelS = 40;
    double gangWaitS = 45;
    double gangPeerS = 6;
    double rps = 200;
    double writeRps = 80;
    double valueKb = 8;
    int txnOps = 12;
    double cloudRps = 2;
    double listLagS = 8;
    int maxConnections = 800;
    String logLevel = "info";
    boolean verbose;
    boolean quiet;
    List<String> zones = List.of("duluth", "kingston", "sarnia");

    World(Path recordFile) throws IOException {
        folder = Files.createTempDirectory("review");
        record = new PrintWriter(Files.newBufferedWriter(recordFile));
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    synchronized void log(String text) {
        record.printf("%8.3f %s%n", (Threads.now() - startedAt) / 1000.0, text);
        record.flush();
    }

    void say(String text) {
        log(text);
        System.out.printf("%8.3f %s%n", (Threads.now() - startedAt) / 1000.0, text);
    }

    int nodeIndex(String member) {
        for (int i = 0; i < nodes.size(); i++) {
            if (nodes.get(i).member.equals(member)) {
                return i;
            }
        }
        return -1;
    }

    private static final Random PORTS = new Random();

    /** A free port below those that the system gives to outgoing connections. */
    static String freeAddress() throws IOException {
        for (int attempt = 0; ; attempt++) {
            int port = 12_000 + PORTS.nextInt(18_000);
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"))) {
                return "127.0.0.1:" + socket.getLocalPort();
            } catch (IOException e) {
                if (attempt > 100) {
                    throw e;
                }
            }
        }
    }

    void team(String name, double guaranteed, double most) {
        guarantees.put(name, guaranteed);
        limits.put(name, most);
    }

    /** Makes the stand-ins and the settings of the controllers; starts none. */
    void prepare(int nodeCount, List<Cloud.Shape> shapes, int maxMachines) throws IOException {
        store = new Store(nodeCount, rps, writeRps, valueKb, txnOps);
        cloud = new Cloud(this, shapes, maxMachines, cloudRps, listLagS);
        for (int i = 0; i < nodeCount; i++) {
            Node node = new Node();
            node.member = "worker-" + i;
            node.domain = zones.get(i % zones.size());
            node.userAddress = freeAddress();
            node.peerAddress = freeAddress();
            nodes.add(node);
        }
        for (int i = 0; i < nodeCount; i++) {
            Node node = nodes.get(i);
            node.settings = folder.resolve(node.member + ".toml");
            Files.writeString(node.settings, settings(i));
        }
    }

    private String settings(int index) {
        Node self = nodes.get(index);
        StringBuilder out = new StringBuilder();
        out.append("member = \"" + self.member + "\"\ndomain = \"" + self.domain + "\"\n");
        out.append("listen = \"" + self.userAddress + "\"\n");
        out.append("cluster_listen = \"" + self.peerAddress + "\"\n");
        for (Node node : nodes) {
            if (node != self) {
                out.append("\n[[known]]\nmember = \"" + node.member + "\"\ndomain = \"");
                out.append(node.domain + "\"\naddress = \"" + node.peerAddress + "\"\n");
            }
        }
        out.append("\n[external]\ncloud = \"" + cloud.server.address() + "\"\nstate = \"");
        out.append(store.servers[index].address() + "\"\n\n[settings]\ncount = " + nodes.size());
        out.append("\nzones = [\"" + String.join("\", \"", zones) + "\"]\nclock_error_ms = 25.0\n");
        limits.forEach(
                (name, most) ->
                        out.append(
                                "\n[[settings.teams]]\nname = \""
                                        + name
                                        + "\"\ncpus = "
                                        + guarantees.get(name)
                                        + "\ncpus_max = "
                                        + most
                                        + "\ngpus = 0.0\ngpus_max = 0.0\n"));
        out.append("\n[[settings.objectives]]\nkind = \"finished\"\nclass = \"wind-fields\"\n");
        out.append("within_s = 50.0\nshare = 0.88\n");
        out.append("\n[settings.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS);
        out.append("\ngang_wait_s = " + gangWaitS + "\ngang_peer_s = " + gangPeerS);
        out.append("\ncancel_s = " + cancelS + "\n\n[settings.state]\nrps = " + rps);
        out.append("\nwrite_rps = " + writeRps + "\nvalue_kb = " + valueKb + "\ntxn_ops = " + txnOps);
        out.append("\n\n[settings.cloud]\nrps = " + cloudRps + "\nlist_lag_s = " + listLagS);
        out.append("\n\n[settings.limits]\ncpu_share = 0.176\nram_mb = 176.0\nmax_connections = ");
        out.append(maxConnections + "\n");
        return out.toString();
    }

    /** Starts one controller with the command of the deploy file. */
    void start(int index) throws IOException {
        Node node = nodes.get(index);
        Path root = Path.of(System.getProperty("project.root", "."));
        List<String> command = new ArrayList<>();
        for (String line : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (line.startsWith("run")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                command.addAll(List.of(run.split(" ")));
            }
        }
        command.add(node.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        builder.environment().put("LOG_LEVEL", logLevel);
        File log = folder.resolve(node.member + ".log").toFile();
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
        node.process = builder.start();
        log("starts controller " + node.member + " at " + node.userAddress + ", log " + log);
    }

    void kill(int index) throws InterruptedException {
        Node node = nodes.get(index);
        node.process.destroyForcibly().waitFor();
        log("killed controller " + node.member);
    }

    boolean isReady(int index) {
        Http.Client client = new Http.Client(nodes.get(index).userAddress, 500);
        try {
            return client.call("GET", "/ready", null, 1000).status() == 200;
        } catch (IOException e) {
            return false;
        } finally {
            client.close();
        }
    }

    boolean awaitReady(int count, long millis) {
        long until = Threads.now() + millis;
        while (Threads.now() < until) {
            int ready = 0;
            for (int i = 0; i < nodes.size(); i++) {
                ready += isReady(i) ? 1 : 0;
            }
            if (ready >= count) {
                return true;
            }
            Threads.sleep(200);
        }
        return false;
    }

    /** One request of a user on a connection of its own; status -1: no answer. */
    Http.Response ask(int index, String method, String path, Object body, int timeoutMillis) {
        Http.Client client = new Http.Client(nodes.get(index).userAddress, 500);
        try {
            return client.call(method, path, body == null ? null : Cbor.encode(body), timeoutMillis);
        } catch (IOException e) {
            return new Http.Response(-1, new byte[0]);
        } finally {
            client.close();
        }
    }

    /** Submits until accepted or refused for good, for up to 60 s; the nodes are tried in turn. */
    boolean submit(Job job, int firstNode) {
        jobs.put(job.id, job);
        long until = Threads.now() + 60_000;
        int index = firstNode;
        while (Threads.now() < until) {
            Http.Response response = ask(index, "POST", "/v2/runs", job.submission(), 5000);
            log("submit " + job.id + " at " + nodes.get(index).member + ": " + describe(response));
            if (response.status() == 200 || response.status() == 201) {
                job.acceptedAt = Threads.now();
                job.acceptedBy = index;
                return true;
            }
            if (response.status() == 400 || response.status() == 422) {
                return false;
            }
            index = (index + 1) % nodes.size();
            Threads.sleep(1000);
        }
        return false;
    }

    String poll(Job job, int index) {
        Http.Response response = ask(index, "GET", "/v2/runs/" + job.id, null, 2000);
        if (response.status() != 200) {
            if (response.status() == 404 && job.acceptedAt > 0) {
                rules.breakRule("forgotten: " + job.id + " gets 404 from " + nodes.get(index).member);
            }
            return "status " + response.status();
        }
        Map<String, Object> answer = Cbor.decodeMap(response.body());
        String status = (String) answer.get("status");
        if (status.equals("done")) {
            if (rules.doneCount(job) < job.members) {
                rules.breakRule("not_done: " + job.id);
            }
            if (job.doneToldAt == 0) {
                job.doneToldAt = Threads.now();
            }
        }
        if (job.doneToldAt > 0 && !status.equals("done") || job.cancelledToldAt > 0 && !status.equals("cancelled")) {
            rules.breakRule("went_back: " + job.id + " is " + status);
        }
        job.lastStatus = Json.text(answer);
        return status;
    }

    static String describe(Http.Response response) {
        return response.status() + " " + Json.text(Cbor.decodeMap(response.body()));
    }

    /** Ends all that was started. */
    void stop() {
        for (Node node : nodes) {
            if (node.process != null) {
                node.process.destroyForcibly();
            }
        }
        record.flush();
    }

    /** Ends a run that takes too long. */
    void exitAfter(int seconds) {
        Threads.start(
                "watchdog",
                () -> {
                    Thread.sleep(seconds * 1000L);
                    finish(2, "not over after " + seconds + " s");
                });
    }

    /** Ends the run: 1, the rule was broken; 0, it held; 2, the case could not run. */
    void finish(int code, String why) {
        say((code == 1 ? "BROKEN: " : code == 0 ? "HELD: " : "COULD NOT RUN: ") + why);
        for (int i = 0; i < nodes.size(); i++) {
            Process process = nodes.get(i).process;
            if (process != null && !process.isAlive()) {
                log(nodes.get(i).member + " has ended by itself, exit " + process.exitValue());
            }
            try {
                log("log of " + nodes.get(i).member + ":\n" + tail(i, 40));
            } catch (IOException e) {
                log("no log of " + nodes.get(i).member);
            }
        }
        stop();
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
            Files.delete(folder);
        } catch (IOException e) {
            log("left in place: " + folder);
        }
        Runtime.getRuntime().halt(code);
    }

    String tail(int index, int lines) throws IOException {
        List<String> all = Files.readAllLines(folder.resolve(nodes.get(index).member + ".log"));
        return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }
}
