package io.quincelead.app;

import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.quincelead.config.OperatorSettings;
import io.quincelead.config.Settings;
import io.quincelead.transport.HttpClient;
import io.quincelead.transport.HttpServer;
import io.quincelead.transport.IncomingRequest;
import io.quincelead.transport.WireFormat;
import io.quincelead.transport.XnioEventLoop;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Starts a controller on loopback against a store that only refuses, and sends it a few requests,
 * so that the classes of a real start are loaded and the build can archive them.
 */
final class ClassDataArchiveTraining {
    private ClassDataArchiveTraining() {}

    static void run() throws Exception {
        int userPort = Main.freePort();
        int peerPort = Main.freePort();
        int externalPort = Main.freePort();
        String toml =
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
                """
                        .formatted(userPort, peerPort, externalPort, externalPort);
        Settings settings = Settings.read(new TomlMapper().readTree(toml), "rehearsal");
        XnioWorker worker =
                Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        new HttpServer(
                        worker,
                        "127.0.0.1:" + externalPort,
                        10,
                        ClassDataArchiveTraining::respondAsStore)
                .start();
        Main.start(settings, OperatorSettings.DEFAULTS);
        HttpClient client =
                new HttpClient(
                        new XnioEventLoop(worker.getIoThread()), worker.getIoThread(), Set.of(), 8);
        byte[] submission =
                WireFormat.CBOR.encode(WireFormat.newMap().put("nameId", "wk-1").put("vcpus", 1.5));
        Thread.sleep(1500);
        CountDownLatch responses = new CountDownLatch(4);
        worker.getIoThread()
                .execute(
                        () -> {
                            client.call(
                                    "127.0.0.1:" + userPort,
                                    "GET",
                                    "/ready",
                                    WireFormat.CBOR,
                                    null,
                                    2000,
                                    (status, body) -> responses.countDown());
                            client.call(
                                    "127.0.0.1:" + userPort,
                                    "POST",
                                    "/v2/runs",
                                    WireFormat.CBOR,
                                    submission,
                                    2000,
                                    (status, body) -> responses.countDown());
                            client.call(
                                    "127.0.0.1:" + userPort,
                                    "POST",
                                    "/v1/report",
                                    WireFormat.CBOR,
                                    submission,
                                    2000,
                                    (status, body) -> responses.countDown());
                            client.call(
                                    "127.0.0.1:" + peerPort,
                                    "POST",
                                    "/peer/news",
                                    WireFormat.JSON,
                                    WireFormat.JSON.encode(WireFormat.newMap().put("from", "x")),
                                    2000,
                                    (status, body) -> responses.countDown());
                        });
        responses.await(5, TimeUnit.SECONDS);
        Thread.sleep(500);
    }

    /** A store with nothing in it that grants holds, so the start goes as far as a real one. */
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
