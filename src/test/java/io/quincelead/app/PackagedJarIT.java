package io.quincelead.app;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.net.httpserver.HttpServer;
import io.quincelead.transport.WireFormat;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * One start of the packaged jar on loopback, against a store that is in trouble: it serves, and
 * says "not now" at once.
 */
class PackagedJarIT {
    private static final String SETTINGS =
            """
            member = "worker-0"
            domain = "a"
            listen = "127.0.0.1:%d"
            cluster_listen = "127.0.0.1:%d"
            [external]
            cloud = "127.0.0.1:%d"
            state = "127.0.0.1:%d"
            [settings]
            count = 1
            [[settings.teams]]
            name = "red"
            cpus_max = 7.0
            [settings.workers]
            report_s = 1.0
            lease_s = 10.0
            cancel_s = 40.0
            [settings.state]
            rps = 200.0
            write_rps = 80.0
            value_kb = 8.0
            txn_ops = 12
            [settings.cloud]
            rps = 2.0
            [settings.limits]
            max_connections = 100
            """;

    @TempDir Path dir;

    private static HttpServer startFailingStore() throws IOException {
        HttpServer failingStore =
                HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        failingStore.createContext(
                "/",
                exchange -> {
                    exchange.sendResponseHeaders(503, -1);
                    exchange.close();
                });
        failingStore.setExecutor(
                Executors.newCachedThreadPool(
                        r -> {
                            Thread thread = new Thread(r);
                            thread.setDaemon(true);
                            return thread;
                        }));
        failingStore.start();
        return failingStore;
    }

    private Process startJar(Path settings) throws IOException {
        String java = ProcessHandle.current().info().command().orElse("java");
        return new ProcessBuilder(
                        java,
                        "-Xmx64m",
                        "-jar",
                        "target/quincelead.jar",
                        "--config",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(new File(dir.toFile(), "log"))
                .start();
    }

    /** The first status of the readiness check; 0: none within 15 s. */
    private static int pollReadiness(HttpClient http, URI base) throws Exception {
        int ready = 0;
        for (int i = 0; i < 150 && ready == 0; i++) {
            try {
                ready =
                        http.send(
                                        HttpRequest.newBuilder(base.resolve("/ready")).build(),
                                        HttpResponse.BodyHandlers.discarding())
                                .statusCode();
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        return ready;
    }

    @Test
    void packagedJarStartsAndServesRequests() throws Exception {
        HttpServer failingStore = startFailingStore();
        int externalPort = failingStore.getAddress().getPort();
        int port = Main.freePort();
        Path settings =
                Files.writeString(
                        dir.resolve("s.toml"),
                        SETTINGS.formatted(port, Main.freePort(), externalPort, externalPort));
        Process process = startJar(settings);
        try (var closing =
                new AutoCloseable() {
                    @Override
                    public void close() {
                        process.destroyForcibly();
                        failingStore.stop(0);
                    }
                }) {
            HttpClient http = HttpClient.newHttpClient();
            URI base = URI.create("http://127.0.0.1:" + port);
            assertEquals(503, pollReadiness(http, base));
            byte[] oversizedBody = new byte[70 * 1024];
            assertEquals(
                    400,
                    http.send(
                                    HttpRequest.newBuilder(base.resolve("/v2/runs"))
                                            .POST(
                                                    HttpRequest.BodyPublishers.ofByteArray(
                                                            oversizedBody))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode());
            // A body that is too large is not read, so its connection ends; the client may not have
            // seen that yet.
            HttpClient freshClient = HttpClient.newHttpClient();
            HttpResponse<byte[]> poll =
                    freshClient.send(
                            HttpRequest.newBuilder(base.resolve("/v2/runs/wk-1")).build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            assertEquals(503, poll.statusCode());
            assertEquals("1", poll.headers().firstValue("Retry-After").orElse(""));
            assertTrue(WireFormat.CBOR.decodeMap(poll.body()).has("error"));
            assertEquals(
                    404,
                    freshClient
                            .send(
                                    HttpRequest.newBuilder(base.resolve("/nothing")).build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode());
        }
    }
}
