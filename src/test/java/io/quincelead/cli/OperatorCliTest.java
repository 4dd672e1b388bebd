package io.quincelead.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.app.Main;
import io.quincelead.transport.HttpServer;
import io.quincelead.transport.WireFormat;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Runs the commands against a fake controller on loopback: checks the requests, the output and the
 * exit codes.
 */
class OperatorCliTest {
    @TempDir private Path dir;
    private XnioWorker worker;
    private String controllerAddress;
    private int status = 200;
    private ObjectNode response = WireFormat.newMap().put("by", "w-0");
    private final List<String> requests = Collections.synchronizedList(new ArrayList<>());
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    @BeforeEach
    void start() throws Exception {
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .getMap());
        controllerAddress = "127.0.0.1:" + freePort();
        new HttpServer(
                        worker,
                        controllerAddress,
                        20,
                        request -> {
                            requests.add(request.path + " " + new String(request.body));
                            request.respond(status, WireFormat.JSON, response, 0);
                        })
                .start();
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private int run(String... args) {
        return OperatorCli.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
    }

    private String file(String text) throws Exception {
        return Files.writeString(dir.resolve("f.json"), text).toString();
    }

    @Test
    void appliesTheRepositorysExampleFiles() {
        assertEquals(
                0,
                run(
                        "classes",
                        "apply",
                        "deploy/classes.example.json",
                        "--at",
                        controllerAddress,
                        "--change",
                        "c1"));
        assertEquals(
                0,
                run(
                        "calendar",
                        "add",
                        "deploy/calendar.example.json",
                        "--at",
                        controllerAddress,
                        "--dry-run"));
        assertTrue(
                requests.get(0).startsWith("/ops/classes/apply ")
                        && requests.get(0).contains("\"change\":\"c1\"")
                        && requests.get(0).contains("morning-ice"),
                "" + requests);
        assertTrue(
                requests.get(1).startsWith("/ops/calendar/add ")
                        && requests.get(1).contains("\"dryRun\":true"),
                "" + requests);
    }

    @Test
    void invalidFilesAreReportedWithFieldAndConstraint() throws Exception {
        assertEquals(
                1,
                run(
                        "classes",
                        "apply",
                        file("{\"classes\":[{\"name\":\"a\",\"rank\":2000}]}"),
                        "--at",
                        controllerAddress));
        assertTrue(
                err.toString().contains("f.json")
                        && err.toString().contains("classes[0].rank")
                        && err.toString().contains("1000"),
                err.toString());
        assertEquals(1, run("classes", "apply", file("{"), "--at", controllerAddress));
        assertEquals(1, run("zones", "list"));
        assertEquals(List.of(), requests);
    }

    @Test
    void exitCodesDistinguishUnknownRefusedAndUnreachable() {
        status = 409;
        response.put("error", "there is an entry already");
        assertEquals(4, run("calendar", "skip", "e", "2026-12-24", "--at", controllerAddress));
        status = 503;
        response.put("unknown", true);
        assertEquals(3, run("zones", "hold", "a", "--at", controllerAddress, "--change", "h7"));
        assertTrue(err.toString().contains("repeat with --change h7"), err.toString());
        assertEquals(5, run("classes", "list", "--at", "127.0.0.1:1"));
        assertEquals(2, run("classes", "appply"));
    }

    @Test
    void mainKnowsAllOperatorCommands() {
        Main.OPERATOR_COMMANDS.forEach(command -> assertEquals(0, run(command, "--help"), command));
        assertEquals(2, run("jobs"));
    }

    @Test
    void listsArePrintedAsTables() {
        response.putArray("list")
                .addObject()
                .put("zone", "a")
                .put("state", "cut")
                .put("since", 1_790_000_000_000L);
        assertEquals(0, run("zones", "list", "--at", controllerAddress));
        assertTrue(
                out.toString().contains("zone  state")
                        && out.toString().contains("2026-09-21T14:13:20Z"),
                out.toString());
        assertEquals(
                0,
                run(
                        "zones",
                        "plan",
                        "--lost",
                        "a",
                        "--lost",
                        "b",
                        "--json",
                        "--at",
                        controllerAddress));
        assertTrue(
                requests.get(1).contains("[\"a\",\"b\"]")
                        && out.toString().contains("\"by\":\"w-0\""),
                requests + out.toString());
    }
}
