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
 * Starts the packaged jar on loopback against a store that answers every request with an error. The
 * controller must serve requests and tell clients at once to retry later.
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
                        runnable -> {
                            Thread thread = new Thread(runnable);
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

    /** Returns the first status of the readiness check; 0 if there is none within 15 s. */
    private static int pollReadiness(HttpClient http, URI baseUri) throws Exception {
        int status = 0;
        for (int i = 0; i < 150 && status == 0; i++) {
            try {
                status =
                        http.send(
                                        HttpRequest.newBuilder(baseUri.resolve("/ready")).build(),
                                        HttpResponse.BodyHandlers.discarding())
                                .statusCode();
            } catch (IOException e) {
                Thread.sleep(100);
            }
        }
        return status;
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
        try (var cleanup =
                new AutoCloseable() {
                    @Override
                    public void close() {
                        process.destroyForcibly();
                        failingStore.stop(0);
                    }
                }) {
            HttpClient http = HttpClient.newHttpClient();
            URI baseUri = URI.create("http://127.0.0.1:" + port);
            assertEquals(503, pollReadiness(http, baseUri));
            byte[] oversizedBody = new byte[70 * 1024];
            assertEquals(
                    400,
                    http.send(
                                    HttpRequest.newBuilder(baseUri.resolve("/v2/runs"))
                                            .POST(
                                                    HttpRequest.BodyPublishers.ofByteArray(
                                                            oversizedBody))
                                            .build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode());
            // A body that is too large is not read, so its connection is closed; the first client
            // may not have noticed that yet.
            HttpClient freshClient = HttpClient.newHttpClient();
            HttpResponse<byte[]> queryResponse =
                    freshClient.send(
                            HttpRequest.newBuilder(baseUri.resolve("/v2/runs/wk-1")).build(),
                            HttpResponse.BodyHandlers.ofByteArray());
            assertEquals(503, queryResponse.statusCode());
            assertEquals("1", queryResponse.headers().firstValue("Retry-After").orElse(""));
            assertTrue(WireFormat.CBOR.decodeMap(queryResponse.body()).has("error"));
            assertEquals(
                    404,
                    freshClient
                            .send(
                                    HttpRequest.newBuilder(baseUri.resolve("/nothing")).build(),
                                    HttpResponse.BodyHandlers.discarding())
                            .statusCode());
        }
    }
}
