package io.quincelead.app;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.transport.HttpClient;
import io.quincelead.transport.HttpServer;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import io.quincelead.transport.XnioEventLoop;
import java.io.IOException;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

/**
 * Starts a controller on loopback against a stub of the store and sends it a few requests, so that
 * the classes of a real start are loaded and the build can archive them.
 */
final class ClassDataArchiveTraining {
    private static final String SETTINGS =
            """
            member = "r"
            domain = "z"
            listen = "127.0.0.1:%d"
            cluster_listen = "127.0.0.1:%d"
            [external]
            cloud = "127.0.0.1:%d"
            state = "127.0.0.1:%d"
            [settings]
            count = 1
            zones = ["z"]
            [[settings.teams]]
            name = "t"
            cpus = 1.0
            cpus_max = 2.0
            [[settings.objectives]]
            kind = "wait"
            class = "c"
            within_s = 2.0
            share = 0.9
            [settings.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 40.0
            [settings.state]
            rps = 100.0
            write_rps = 50.0
            value_kb = 8.0
            txn_ops = 12
            [settings.cloud]
            rps = 2.0
            [settings.limits]
            max_connections = 100
            """;

    private static final int CALL_TIMEOUT_MILLIS = 2_000;
    private static final long STARTUP_WAIT_MILLIS = 1_500;
    private static final long SETTLE_WAIT_MILLIS = 500;

    private final HttpClient client;
    private final CountDownLatch responses = new CountDownLatch(4);

    private ClassDataArchiveTraining(HttpClient client) {
        this.client = client;
    }

    /**
     * Starts the controller, calls it and returns. The caller exits the process.
     *
     * @throws IOException if no port is free or no I/O thread can be created
     * @throws InterruptedException if the thread is interrupted while waiting
     */
    static void run() throws IOException, InterruptedException, Settings.InvalidSettingsException {
        int userPort = Main.freePort();
        int peerPort = Main.freePort();
        int externalPort = Main.freePort();
        String toml = SETTINGS.formatted(userPort, peerPort, externalPort, externalPort);
        Settings settings = Settings.read(new TomlMapper().readTree(toml), "rehearsal");
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        XnioIoThread thread = worker.getIoThread();
        new HttpServer(
                        worker,
                        "127.0.0.1:" + externalPort,
                        10,
                        ClassDataArchiveTraining::respondAsStore)
                .start();
        Main.start(settings, OperatorSettings.DEFAULTS);
        HttpClient client = new HttpClient(new XnioEventLoop(thread), thread, Set.of(), 8);
        Thread.sleep(STARTUP_WAIT_MILLIS);
        ClassDataArchiveTraining training = new ClassDataArchiveTraining(client);
        thread.execute(() -> training.callController(userPort, peerPort));
        training.responses.await(5, TimeUnit.SECONDS);
        Thread.sleep(SETTLE_WAIT_MILLIS);
    }

    private void callController(int userPort, int peerPort) {
        byte[] submission =
                WireFormat.CBOR.encode(WireFormat.newMap().put("nameId", "wk-1").put("vcpus", 1.5));
        byte[] status = WireFormat.JSON.encode(WireFormat.newMap().put("from", "x"));
        call(userPort, "GET", "/ready", WireFormat.CBOR, null);
        call(userPort, "POST", "/v2/runs", WireFormat.CBOR, submission);
        call(userPort, "POST", "/v1/report", WireFormat.CBOR, submission);
        call(peerPort, "POST", "/peer/news", WireFormat.JSON, status);
    }

    private void call(int port, String method, String path, WireFormat format, byte[] body) {
        client.call(
                "127.0.0.1:" + port,
                method,
                path,
                format,
                body,
                CALL_TIMEOUT_MILLIS,
                (status, response) -> responses.countDown());
    }

    /**
     * Responds as an empty store that grants leases, so that the start proceeds as far as a real
     * one.
     */
    private static void respondAsStore(IncomingRequest request) {
        if (request.path.equals("/holds") || request.path.endsWith("/touch")) {
            request.respond(200, WireFormat.newMap().put("grant", 1));
        } else if (request.path.equals("/commit")) {
            request.respond(200, WireFormat.newMap().put("generation", 2));
        } else if (request.path.equals("/store")) {
            request.respond(
                    200,
                    WireFormat.newMap().put("generation", 1).set("items", WireFormat.newList()));
        } else if (request.path.equals("/watch")) {
            request.respondError(503, "trouble");
        } else {
            request.respond(404, WireFormat.newMap().put("generation", 1));
        }
    }
}
