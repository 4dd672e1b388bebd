package standins2;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.sun.net.httpserver.HttpServer;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** HTTP with CBOR bodies on loopback: a server and a client for the stand-ins. */
final class Wire {
    static final ObjectMapper CBOR = new CBORMapper();
    static final ObjectMapper JSON = new ObjectMapper();
    static final ExecutorService THREADS =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private static final HttpClient CLIENT =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(4))
                    .executor(THREADS)
                    .build();

    private Wire() {}

    /** A response; status 0: none came. */
    record Answer(int status, JsonNode body) {
        String text(String field) {
            return body == null ? "" : body.path(field).asText("");
        }
    }

    record Request(String method, String path, Map<String, String> query, ObjectNode body) {}

    /** Answers a request; null: the connection is closed without a response. */
    interface Handler {
        Answer handle(Request request) throws Exception;
    }

    static ObjectNode map() {
        return JSON.createObjectNode();
    }

    static Answer answer(int status, ObjectNode body) {
        return new Answer(status, body);
    }

    static Answer error(int status, String reason) {
        return new Answer(status, map().put("error", reason));
    }

    static HttpServer serve(Handler handler) throws Exception {
        HttpServer server =
                HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 200);
        server.setExecutor(THREADS);
        server.createContext(
                "/",
                exchange -> {
                    try {
                        byte[] body = exchange.getRequestBody().readAllBytes();
                        Map<String, String> query = new HashMap<>();
                        String text = exchange.getRequestURI().getQuery();
                        for (String part : text == null ? new String[0] : text.split("&")) {
                            int equals = part.indexOf('=');
                            query.put(part.substring(0, equals), part.substring(equals + 1));
                        }
                        ObjectNode map =
                                body.length > 0
                                                && CBOR.readTree(body) instanceof ObjectNode object
                                        ? object
                                        : null;
                        Answer answer =
                                handler.handle(
                                        new Request(
                                                exchange.getRequestMethod(),
                                                exchange.getRequestURI().getPath(),
                                                query,
                                                map));
                        if (answer != null) {
                            byte[] out =
                                    answer.body == null
                                            ? new byte[0]
                                            : CBOR.writeValueAsBytes(answer.body);
                            exchange.sendResponseHeaders(
                                    answer.status, out.length == 0 ? -1 : out.length);
                            if (out.length > 0) {
                                exchange.getResponseBody().write(out);
                            }
                        }
                    } catch (Exception e) {
                        if (!(e instanceof java.io.IOException)) {
                            e.printStackTrace();
                        }
                    } finally {
                        exchange.close();
                    }
                });
        server.start();
        return server;
    }

    static String addressOf(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    static Answer call(
            String address, String method, String path, JsonNode body, long timeoutMillis) {
        try {
            byte[] bytes = body == null ? null : CBOR.writeValueAsBytes(body);
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + address + path))
                            .timeout(Duration.ofMillis(timeoutMillis))
                            .header("Content-Type", "application/cbor")
                            .method(
                                    method,
                                    bytes == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofByteArray(bytes))
                            .build();
            HttpResponse<byte[]> response =
                    CLIENT.send(request, HttpResponse.BodyHandlers.ofByteArray());
            byte[] received = response.body();
            return new Answer(
                    response.statusCode(), received.length == 0 ? null : CBOR.readTree(received));
        } catch (Exception e) {
            return new Answer(0, null);
        }
    }
}
