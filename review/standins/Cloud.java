package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The cloud of PROTOCOL: rents machines, on each of which a worker starts. */
final class Cloud {
    /** A machine type. */
    record Shape(
            String label,
            double vcpus,
            double ramGb,
            double price,
            double spotPrice,
            double bootS,
            double pullGbPerS,
            List<String> sites) {}

    static final class Machine {
        String name;
        Shape shape;
        String site;
        boolean spot;
        long rentedAt;
        long goneAt;
        boolean up;
        Worker worker;
    }

    final Http.Server server;
    private final World world;
    private final List<Shape> shapes;
    private final int maxMachines;
    private final double rps;
    private final long lagMillis;
    private final Map<String, List<String>> rentals = new TreeMap<>();
    final Map<String, Machine> machines = new TreeMap<>();
    private int lastNumber = 200;
    private double tokens;
    private long tokensAt = Threads.now();
    boolean outage;

    Cloud(World world, List<Shape> shapes, int maxMachines, double rps, double lagS)
            throws IOException {
        this.world = world;
        this.shapes = shapes;
        this.maxMachines = maxMachines;
        this.rps = rps;
        this.tokens = 2 * rps;
        this.lagMillis = (long) (lagS * 1000);
        server = new Http.Server(this::handle);
    }

    synchronized List<Machine> present() {
        List<Machine> out = new ArrayList<>();
        for (Machine machine : machines.values()) {
            if (machine.goneAt == 0) {
                out.add(machine);
            }
        }
        return out;
    }

    @SuppressWarnings("unchecked")
    private Http.Response handle(Http.Request request) throws Exception {
        List<Machine> gone = new ArrayList<>();
        Http.Response response;
        synchronized (this) {
            if (outage) {
                return Http.Response.of(503, Map.of("error", "trouble"));
            }
            long now = Threads.now();
            tokens = Math.min(2 * rps, tokens + (now - tokensAt) / 1000.0 * rps);
            tokensAt = now;
            if (tokens < 1) {
                return Http.Response.of(429, Map.of("error", "too many requests"));
            }
            tokens -= 1;
            Map<String, Object> body = Cbor.decodeMap(request.body);
            switch (request.method + " " + request.path) {
                case "GET /catalog" -> response = catalog();
                case "POST /rentals" -> response = rent(body);
                case "GET /rentals" -> response = list(request);
                case "POST /rentals/release" -> {
                    for (String name : (List<String>) body.get("hosts")) {
                        Machine machine = machines.get(name);
                        if (machine != null && machine.goneAt == 0) {
                            machine.goneAt = now;
                            gone.add(machine);
                        }
                    }
                    response = Http.Response.of(200, Map.of());
                }
                default -> response = Http.Response.of(400, Map.of("error", "malformed"));
            }
        }
        for (Machine machine : gone) {
            world.log("cloud releases " + machine.name);
            machine.worker.destroy();
        }
        Thread.sleep(20);
        return response;
    }

    private Http.Response catalog() {
        List<Object> list = new ArrayList<>();
        for (Shape shape : shapes) {
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("label", shape.label);
            node.put("vcpus", shape.vcpus);
            node.put("cards", 0.0);
            node.put("ramGb", shape.ramGb);
            node.put("localGb", 200.0);
            node.put("pullGbPerS", shape.pullGbPerS);
            node.put("price", shape.price);
            node.put("spotPrice", shape.spotPrice);
            node.put("bootS", shape.bootS);
            node.put("sites", shape.sites);
            list.add(node);
        }
        return Http.Response.of(200, Map.of("shapes", list));
    }

    private Http.Response rent(Map<String, Object> body) throws IOException {
        String rental = (String) body.get("rental");
        List<String> known = rentals.get(rental);
        if (known != null) {
            return Http.Response.of(200, Map.of("hosts", known));
        }
        Shape shape = null;
        for (Shape s : shapes) {
            shape = s.label.equals(body.get("shape")) ? s : shape;
        }
        int free = maxMachines - present().size();
        int count = Math.min(free, Math.min(50, ((Number) body.get("howMany")).intValue()));
        if (shape == null || !shape.sites.contains(body.get("site"))) {
            return Http.Response.of(400, Map.of("error", "malformed"));
        }
        if (count <= 0) {
            return Http.Response.of(503, Map.of("error", "no capacity"));
        }
        List<String> names = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Machine machine = new Machine();
            machine.name = String.format("i-%06d", ++lastNumber);
            machine.shape = shape;
            machine.site = (String) body.get("site");
            machine.spot = (Boolean) body.get("preemptible");
            machine.rentedAt = Threads.now();
            machine.worker = new Worker(world, machine);
            machines.put(machine.name, machine);
            names.add(machine.name);
        }
        rentals.put(rental, names);
        world.log("cloud rents " + names.size() + " " + shape.label + " for " + rental + ": " + names);
        return Http.Response.of(200, Map.of("hosts", names));
    }

    private Http.Response list(Http.Request request) {
        String after = request.param("after");
        int limit = Math.min(500, Integer.parseInt(request.param("limit")));
        long then = Threads.now() - lagMillis;
        List<Object> items = new ArrayList<>();
        boolean truncated = false;
        for (Machine machine : machines.values()) {
            if (after != null && machine.name.compareTo(after) <= 0
                    || machine.rentedAt > then
                    || machine.goneAt != 0 && machine.goneAt <= then) {
                continue;
            }
            if (items.size() >= limit) {
                truncated = true;
                break;
            }
            Map<String, Object> node = new LinkedHashMap<>();
            node.put("nameId", machine.name);
            node.put("addr", machine.worker.address());
            node.put("shape", machine.shape.label);
            node.put("site", machine.site);
            node.put("preemptible", machine.spot);
            node.put("status", machine.worker.upAt > 0 && machine.worker.upAt <= then ? "running" : "booting");
            node.put("ageS", (then - machine.rentedAt) / 1000.0);
            items.add(node);
        }
        return Http.Response.of(200, Map.of("hosts", items, "truncated", truncated));
    }
}
