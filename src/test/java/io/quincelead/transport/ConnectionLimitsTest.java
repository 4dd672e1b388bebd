package io.quincelead.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.quincelead.eventloop.EventLoop;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * The number of connections is limited. The only controller left running once used all of them for
 * workers, so that users and the platform's probe could not connect.
 */
class ConnectionLimitsTest {
    private XnioWorker worker;

    @BeforeEach
    void start() throws IOException {
        worker =
                Xnio.getInstance()
                        .createWorker(
                                OptionMap.builder()
                                        .set(Options.WORKER_IO_THREADS, 1)
                                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                        .set(Options.THREAD_DAEMON, true)
                                        .getMap());
    }

    @AfterEach
    void stop() {
        worker.shutdownNow();
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress("127.0.0.1", 0));
            return socket.getLocalPort();
        }
    }

    /** Sends a GET request and returns the head of the response. */
    private static String sendGet(Socket socket, String path) throws IOException {
        socket.getOutputStream()
                .write(
                        ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        InputStream in = socket.getInputStream();
        for (int c = in.read(); c >= 0 && head.indexOf("\r\n\r\n") < 0; c = in.read()) {
            head.append((char) c);
        }
        return head.toString();
    }

    @Test
    void workerConnectionsAreClosedNearTheLimit() throws Exception {
        int port = freePort();
        new HttpServer(
                        worker,
                        "127.0.0.1:" + port,
                        40,
                        request -> {
                            if (request.path.equals("/v1/report")
                                    && request.isNearConnectionLimit()) {
                                request.closeConnectionAfterResponse();
                            }
                            request.respond(200, WireFormat.newMap());
                        })
                .start();
        List<Socket> keptSockets = new ArrayList<>();
        int closedCount = 0;
        for (int i = 0; i < 120; i++) {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            socket.setSoTimeout(2_000);
            String head = sendGet(socket, "/v1/report");
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            if (head.toLowerCase().contains("connection: close")) {
                closedCount++;
                socket.close();
            } else {
                keptSockets.add(socket);
            }
        }
        assertEquals(120, closedCount + keptSockets.size());
        assertTrue(keptSockets.size() <= 31, "kept: " + keptSockets.size());
        try (Socket user = new Socket()) {
            user.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            user.setSoTimeout(2_000);
            String head = sendGet(user, "/ready");
            assertTrue(
                    head.startsWith("HTTP/1.1 200")
                            && !head.toLowerCase().contains("connection: close"),
                    head);
        }
        for (Socket socket : keptSockets) {
            socket.close();
        }
    }

    /** Starts servers, every third of which never responds, and returns their ports. */
    private List<Integer> startServers(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int port = freePort();
            ports.add(port);
            boolean neverResponds = i % 3 == 0;
            new HttpServer(
                            worker,
                            "127.0.0.1:" + port,
                            40,
                            request -> {
                                if (!neverResponds) {
                                    request.respond(200, WireFormat.newMap());
                                }
                            })
                    .start();
        }
        return ports;
    }

    private EventLoop eventLoop() {
        return new EventLoop() {
            @Override
            public long nowMillis() {
                return System.nanoTime() / 1_000_000;
            }

            @Override
            public long wallClockMillis() {
                return nowMillis();
            }

            @Override
            public void runAfter(long delayMillis, Runnable task) {
                worker.getIoThread()
                        .executeAfter(task, Math.max(delayMillis, 1), TimeUnit.MILLISECONDS);
            }
        };
    }

    /**
     * Calls to many workers, some of which never respond, share a bounded number of connections,
     * and the store can still be called.
     */
    @Test
    void callsToWorkersShareBoundedConnections() throws Exception {
        Set<String> storeResponses = new HashSet<>();
        AtomicInteger peakConnections = new AtomicInteger();
        List<Integer> ports = startServers(12);
        String storeAddress = "127.0.0.1:" + ports.get(1);
        CountDownLatch pendingWorkerCalls = new CountDownLatch(48);
        AtomicInteger successCount = new AtomicInteger();
        CountDownLatch storeResponded = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            HttpClient client =
                                    new HttpClient(
                                            eventLoop(),
                                            worker.getIoThread(),
                                            Set.of(storeAddress),
                                            5);
                            for (int round = 0; round < 4; round++) {
                                for (int port : ports) {
                                    client.call(
                                            "127.0.0.1:" + port,
                                            "GET",
                                            "/x",
                                            WireFormat.CBOR,
                                            null,
                                            3_000,
                                            (status, body) -> {
                                                successCount.addAndGet(status == 200 ? 1 : 0);
                                                peakConnections.accumulateAndGet(
                                                        client.sharedConnectionCount(), Math::max);
                                                pendingWorkerCalls.countDown();
                                            });
                                }
                            }
                            client.call(
                                    storeAddress,
                                    "GET",
                                    "/x",
                                    WireFormat.CBOR,
                                    null,
                                    1_000,
                                    (status, body) -> {
                                        storeResponses.add("store " + status);
                                        storeResponded.countDown();
                                    });
                        });
        assertTrue(storeResponded.await(2, TimeUnit.SECONDS));
        assertEquals(Set.of("store 200"), storeResponses);
        assertTrue(pendingWorkerCalls.await(20, TimeUnit.SECONDS));
        assertTrue(peakConnections.get() <= 5, "connections: " + peakConnections.get());
        assertTrue(successCount.get() >= 20, "answered: " + successCount.get());
    }

    /** Each call to an address that a worker had misstated used up a shared connection for good. */
    @ParameterizedTest
    @ValueSource(strings = {"10.9.0.1 :9000", ":9000", "img-\ud83d:9000"})
    void callsToAnInvalidAddressAreAnsweredAndKeepNoConnection(String address) throws Exception {
        CountDownLatch answered = new CountDownLatch(3);
        Set<Integer> statuses = new HashSet<>();
        HttpClient client = new HttpClient(eventLoop(), worker.getIoThread(), Set.of(), 2);
        worker.getIoThread()
                .execute(
                        () -> {
                            for (int i = 0; i < 3; i++) {
                                client.call(
                                        address,
                                        "GET",
                                        "/show",
                                        WireFormat.CBOR,
                                        null,
                                        1_000,
                                        (status, body) -> {
                                            statuses.add(status);
                                            answered.countDown();
                                        });
                            }
                        });
        assertTrue(answered.await(5, TimeUnit.SECONDS));
        assertEquals(Set.of(Transport.NO_RESPONSE), statuses);
        assertEquals(0, client.sharedConnectionCount());
    }
}
