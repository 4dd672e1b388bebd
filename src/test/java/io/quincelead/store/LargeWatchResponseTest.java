package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.TestSettings;
import io.quincelead.config.constants.TransportConstants;
import io.quincelead.transport.HttpClient;
import io.quincelead.transport.WireFormat;
import io.quincelead.transport.XnioEventLoop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** A watch's response has no size limit; it arrives here through real sockets. */
class LargeWatchResponseTest {
    private static final long RESPONSE_BYTES = 64L * 1024 * 1024;

    /** What may be under way in the buffers of both sockets when the client stops reading. */
    private static final long SOCKET_BUFFERS_BYTES = 16L * 1024 * 1024;

    private static final long LISTED_REVISION = 9_000;
    private final List<String> requests = new CopyOnWriteArrayList<>();
    private final AtomicLong watchBytesSent = new AtomicLong();
    private final CountDownLatch secondWatch = new CountDownLatch(1);
    private XnioWorker worker;
    private ServerSocket server;
    private boolean announcesLength;

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
        server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        startThread(
                () -> {
                    while (!server.isClosed()) {
                        Socket socket = server.accept();
                        startThread(() -> serve(socket));
                    }
                });
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        worker.shutdownNow();
    }

    private interface SocketTask {
        void run() throws IOException;
    }

    private static void startThread(SocketTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // The other side has closed the connection.
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    socket.getInputStream(), StandardCharsets.ISO_8859_1));
            for (String head = in.readLine(); head != null; head = in.readLine()) {
                while (!in.readLine().isEmpty()) {
                    // The headers don't matter.
                }
                String path = head.split(" ")[1];
                requests.add(path);
                respond(path, socket.getOutputStream());
            }
        }
    }

    private void respond(String path, OutputStream out) throws IOException {
        if (path.startsWith("/store?")) {
            boolean first = requests.stream().filter(p -> p.startsWith("/store?")).count() == 1;
            ObjectNode page =
                    WireFormat.newMap()
                            .put("generation", first ? 1 : LISTED_REVISION)
                            .put("truncated", false);
            page.putArray("items");
            send(out, WireFormat.CBOR.encode(page));
        } else if (path.contains("after=1&")) {
            sendLargeResponse(out);
        } else {
            secondWatch.countDown();
        }
    }

    private static void sendHead(OutputStream out, String lengthHeader) throws IOException {
        out.write(
                ("HTTP/1.1 200 OK\r\n" + lengthHeader + "\r\n\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static void send(OutputStream out, byte[] body) throws IOException {
        sendHead(out, "Content-Length: " + body.length);
        out.write(body);
        out.flush();
    }

    /** Sends a response of changes without end; the client needs to read only its beginning. */
    private void sendLargeResponse(OutputStream out) throws IOException {
        byte[] chunk = new byte[64 * 1024];
        sendHead(
                out,
                announcesLength
                        ? "Content-Length: " + RESPONSE_BYTES
                        : "Transfer-Encoding: chunked");
        for (long sent = 0; sent < RESPONSE_BYTES; sent += chunk.length) {
            if (!announcesLength) {
                out.write("10000\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            out.write(chunk);
            if (!announcesLength) {
                out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            watchBytesSent.addAndGet(chunk.length);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    }

    /** The response was dropped and asked for again with the same revision, for ever. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void recordsAreReadAgainAfterAResponseOverTheLimit(boolean withLength) throws Exception {
        announcesLength = withLength;
        String address = "127.0.0.1:" + server.getLocalPort();
        XnioEventLoop loop = new XnioEventLoop(worker.getIoThread());
        loop.runAfter(0, () -> watch(loop, TestSettings.withStore(address)));

        assertTrue(secondWatch.await(10, TimeUnit.SECONDS), "requests: " + requests);

        assertEquals(4, requests.size(), "requests: " + requests);
        assertTrue(requests.get(1).contains("after=1&"), "requests: " + requests);
        assertTrue(requests.get(2).startsWith("/store?"), "requests: " + requests);
        assertTrue(requests.get(3).contains("after=" + LISTED_REVISION + "&"), "" + requests);
        assertTrue(
                watchBytesSent.get()
                        <= TransportConstants.MAX_RESPONSE_BYTES + SOCKET_BUFFERS_BYTES,
                "sent: " + watchBytesSent);
    }

    private void watch(XnioEventLoop loop, Settings settings) {
        HttpClient client =
                new HttpClient(loop, worker.getIoThread(), Set.of(settings.storeAddress()), 4);
        new WatchCache(loop, new StoreClient(loop, client, settings), 400).start();
    }
}
