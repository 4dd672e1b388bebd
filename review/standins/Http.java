package standins;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A small blocking HTTP/1.1 server and client. */
final class Http {
    private Http() {}

    record Response(int status, byte[] body) {
        static Response of(int status, Object body) {
            return new Response(status, body == null ? new byte[0] : Cbor.encode(body));
        }
    }

    /** A request as it came in; the handler may block. */
    static final class Request {
        String method;
        String path;
        String query = "";
        byte[] body;
        Socket socket;
        long openedAtNanos;

        String param(String name) {
            for (String part : query.split("&")) {
                int eq = part.indexOf('=');
                if (eq > 0 && part.substring(0, eq).equals(name)) {
                    return part.substring(eq + 1);
                }
            }
            return null;
        }

        /** Whether the peer has closed the connection (it never pipelines). */
        boolean isAbandoned() {
            try {
                int before = socket.getSoTimeout();
                socket.setSoTimeout(2);
                try {
                    return socket.getInputStream().read() < 0;
                } catch (SocketTimeoutException e) {
                    return false;
                } finally {
                    socket.setSoTimeout(before);
                }
            } catch (IOException e) {
                return true;
            }
        }
    }

    interface Handler {
        /** Null: the connection is reset without an answer. */
        Response handle(Request request) throws Exception;
    }

    static final class Server {
        final ServerSocket socket;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            this.handler = handler;
            socket = new ServerSocket();
            socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
            Threads.start("accept", this::accept);
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        void close() {
            try {
                socket.close();
            } catch (IOException ignored) {
                // closing
            }
            resetAll();
        }

        void resetAll() {
            for (Socket connection : open) {
                reset(connection);
            }
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    open.add(connection);
                    Threads.start("serve", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            long openedAt = System.nanoTime();
            try {
                connection.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(connection.getInputStream(), 16384);
                OutputStream out = connection.getOutputStream();
                while (true) {
                    Request request = readRequest(in);
                    if (request == null) {
                        return;
                    }
                    request.socket = connection;
                    request.openedAtNanos = openedAt;
                    Response response;
                    try {
                        response = handler.handle(request);
                    } catch (Exception e) {
                        e.printStackTrace();
                        response = new Response(500, new byte[0]);
                    }
                    if (response == null) {
                        reset(connection);
                        return;
                    }
                    String head =
                            "HTTP/1.1 "
                                    + response.status
                                    + " X\r\nContent-Type: application/cbor\r\nContent-Length: "
                                    + response.body.length
                                    + "\r\n\r\n";
                    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
                    byte[] all = new byte[headBytes.length + response.body.length];
                    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
                    System.arraycopy(
                            response.body, 0, all, headBytes.length, response.body.length);
                    out.write(all);
                    out.flush();
                }
            } catch (IOException e) {
                // the connection is gone
            } finally {
                open.remove(connection);
                try {
                    connection.close();
                } catch (IOException ignored) {
                    // closing
                }
            }
        }
    }

    static void reset(Socket connection) {
        try {
            connection.setSoLinger(true, 0);
            connection.close();
        } catch (IOException ignored) {
            // closing
        }
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }

    private static Request readRequest(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Request request = new Request();
        String[] parts = first.split(" ");
        request.method = parts[0];
        int q = parts[1].indexOf('?');
        request.path = q < 0 ? parts[1] : parts[1].substring(0, q);
        request.query = q < 0 ? "" : parts[1].substring(q + 1);
        int length = 0;
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(15).trim());
            }
        }
        request.body = in.readNBytes(length);
        return request;
    }

    /** One connection that is kept open; a failure closes it. */
    static final class Client {
        private final String address;
        private final int connectTimeoutMillis;
        private Socket socket;
        private InputStream in;

        Client(String address, int connectTimeoutMillis) {
            this.address = address;
            this.connectTimeoutMillis = connectTimeoutMillis;
        }

        void close() {
            if (socket != null) {
                try {
                    socket.close();
                } catch (IOException ignored) {
                    // closing
                }
                socket = null;
            }
        }

        /** Throws an IOException where no answer arrived in time. */
        Response call(String method, String path, byte[] body, int timeoutMillis)
                throws IOException {
            boolean fresh = socket == null;
            try {
                return tryCall(method, path, body, timeoutMillis);
            } catch (SocketTimeoutException e) {
                close();
                throw e;
            } catch (IOException e) {
                close();
                if (fresh) {
                    throw e;
                }
                // An idle connection that the server has closed: once more on a new one.
                try {
                    return tryCall(method, path, body, timeoutMillis);
                } catch (IOException again) {
                    close();
                    throw again;
                }
            }
        }

        private Response tryCall(String method, String path, byte[] body, int timeoutMillis)
                throws IOException {
            long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
            if (socket == null) {
                Socket fresh = new Socket();
                fresh.setTcpNoDelay(true);
                int colon = address.lastIndexOf(':');
                fresh.connect(
                        new InetSocketAddress(
                                address.substring(0, colon),
                                Integer.parseInt(address.substring(colon + 1))),
                        Math.min(connectTimeoutMillis, timeoutMillis));
                socket = fresh;
                in = new BufferedInputStream(fresh.getInputStream(), 16384);
            }
            socket.setSoTimeout(
                    (int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000L));
            StringBuilder head = new StringBuilder();
            head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ");
            head.append(address).append("\r\n");
            if (body != null) {
                head.append("Content-Type: application/cbor\r\nContent-Length: ");
                head.append(body.length).append("\r\n");
            }
            head.append("\r\n");
            byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[headBytes.length + (body == null ? 0 : body.length)];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            if (body != null) {
                System.arraycopy(body, 0, all, headBytes.length, body.length);
            }
            socket.getOutputStream().write(all);
            String first = readLine(in);
            if (first == null) {
                throw new IOException("closed");
            }
            int status = Integer.parseInt(first.split(" ")[1]);
            int length = 0;
            boolean closes = false;
            for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
                String lower = line.toLowerCase();
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                } else if (lower.startsWith("connection:") && lower.contains("close")) {
                    closes = true;
                }
            }
            byte[] answer = in.readNBytes(length);
            if (answer.length < length) {
                throw new IOException("cut short");
            }
            if (closes) {
                close();
            }
            return new Response(status, answer);
        }
    }
}
