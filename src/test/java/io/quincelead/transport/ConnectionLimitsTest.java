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
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Connections are short: a controller left alone once spent all of them on workers, and users and
 * the platform's probe found none.
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
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress("127.0.0.1", 0));
            return s.getLocalPort();
        }
    }

    /** Sends one request and reads the head of the answer. */
    private static String ask(Socket s, String path) throws IOException {
        s.getOutputStream()
                .write(
                        ("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
        StringBuilder head = new StringBuilder();
        InputStream in = s.getInputStream();
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
        List<Socket> open = new ArrayList<>();
        int closed = 0;
        for (int i = 0; i < 120; i++) {
            Socket s = new Socket();
            s.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            s.setSoTimeout(2_000);
            String head = ask(s, "/v1/report");
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            if (head.toLowerCase().contains("connection: close")) {
                closed++;
                s.close();
            } else {
                open.add(s);
            }
        }
        assertEquals(120, closed + open.size());
        assertTrue(open.size() <= 31, "kept: " + open.size());
        try (Socket user = new Socket()) {
            user.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            user.setSoTimeout(2_000);
            String head = ask(user, "/ready");
            assertTrue(
                    head.startsWith("HTTP/1.1 200")
                            && !head.toLowerCase().contains("connection: close"),
                    head);
        }
        for (Socket s : open) {
            s.close();
        }
    }

    /** Starts servers of which every third never responds; gives their ports. */
    private List<Integer> startServers(int count) throws IOException {
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int port = freePort();
            ports.add(port);
            boolean silent = i % 3 == 0;
            new HttpServer(
                            worker,
                            "127.0.0.1:" + port,
                            40,
                            request -> {
                                if (!silent) {
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
            public void runAfter(long ms, Runnable task) {
                worker.getIoThread().executeAfter(task, Math.max(ms, 1), TimeUnit.MILLISECONDS);
            }
        };
    }

    /**
     * Calls to many workers, some of which never answer, share few connections; the store is
     * reached all the same.
     */
    @Test
    void callsToWorkersShareBoundedConnections() throws Exception {
        Set<String> seen = new HashSet<>();
        AtomicInteger most = new AtomicInteger();
        List<Integer> ports = startServers(12);
        String store = "127.0.0.1:" + ports.get(1);
        CountDownLatch answered = new CountDownLatch(48);
        AtomicInteger good = new AtomicInteger();
        CountDownLatch stored = new CountDownLatch(1);
        worker.getIoThread()
                .execute(
                        () -> {
                            HttpClient client =
                                    new HttpClient(
                                            eventLoop(), worker.getIoThread(), Set.of(store), 5);
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
                                                good.addAndGet(status == 200 ? 1 : 0);
                                                most.accumulateAndGet(
                                                        client.sharedConnectionCount(), Math::max);
                                                answered.countDown();
                                            });
                                }
                            }
                            client.call(
                                    store,
                                    "GET",
                                    "/x",
                                    WireFormat.CBOR,
                                    null,
                                    1_000,
                                    (status, body) -> {
                                        seen.add("store " + status);
                                        stored.countDown();
                                    });
                        });
        assertTrue(stored.await(2, TimeUnit.SECONDS));
        assertEquals(Set.of("store 200"), seen);
        assertTrue(answered.await(20, TimeUnit.SECONDS));
        assertTrue(most.get() <= 5, "connections: " + most.get());
        assertTrue(good.get() >= 20, "answered: " + good.get());
    }
}
