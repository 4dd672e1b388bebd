package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.CliConstants;
import io.quincelead.transport.HttpClient;
import io.quincelead.transport.Transport;
import io.quincelead.transport.WireFormat;
import io.quincelead.transport.XnioEventLoop;
import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import picocli.CommandLine;

/** Sends one request to the first controller that can answer it. */
final class ControllerClient {
    /** The addresses at which controllers listen for each other, as stated on the command line. */
    static final class ControllerAddresses {
        @CommandLine.Option(
                names = "--at",
                paramLabel = "HOST:PORT",
                description = "A controller's cluster_listen address; may be repeated.")
        private List<String> addresses = new ArrayList<>();

        @CommandLine.Option(
                names = "--config",
                paramLabel = "FILE",
                description = "The platform's settings (TOML), which name the controllers.")
        private File settingsFile;

        /** All stated addresses, in the order in which they are tried; never empty. */
        private List<String> resolve() throws Settings.InvalidSettingsException {
            List<String> resolved = new ArrayList<>(addresses);
            if (settingsFile != null) {
                Settings settings = Settings.load(settingsFile);
                resolved.add(settings.clusterListenAddress());
                resolved.addAll(settings.peerAddresses().values());
            }
            if (resolved.isEmpty()) {
                throw new Settings.InvalidSettingsException(
                        "--at or --config is required, to know where the controllers are");
            }
            return resolved;
        }
    }

    /**
     * A controller's response.
     *
     * @param status HTTP status
     * @param body the JSON map in its body
     */
    record Response(int status, ObjectNode body) {}

    private final HttpClient client;
    private final List<String> addresses;
    private final String path;
    private final byte[] body;
    private final CompletableFuture<Response> response;

    private ControllerClient(
            HttpClient client,
            List<String> addresses,
            String path,
            byte[] body,
            CompletableFuture<Response> response) {
        this.client = client;
        this.addresses = addresses;
        this.path = path;
        this.body = body;
        this.response = response;
    }

    /**
     * Returns the first response of a controller that is ready, or else the last one of a
     * controller that isn't. A response that leaves a change's outcome unknown is returned without
     * asking the next controller.
     *
     * @return null if no controller answers in time
     * @throws Settings.InvalidSettingsException if no address is stated, the settings can't be read
     *     or no connections can be made
     */
    static Response send(ControllerAddresses options, String path, ObjectNode body)
            throws Settings.InvalidSettingsException {
        List<String> addresses = options.resolve();
        XnioWorker worker = createWorker();
        try {
            XnioIoThread thread = worker.getIoThread();
            CompletableFuture<Response> response = new CompletableFuture<>();
            thread.execute(
                    () -> {
                        HttpClient client =
                                new HttpClient(
                                        new XnioEventLoop(thread),
                                        thread,
                                        Set.copyOf(addresses),
                                        1);
                        byte[] encoded = WireFormat.JSON.encode(body);
                        new ControllerClient(client, addresses, path, encoded, response)
                                .tryAddress(0, null);
                    });
            return response.get(
                    addresses.size() * 2 * CliConstants.OPERATOR_COMMAND_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        } catch (ExecutionException | TimeoutException e) {
            return null;
        } finally {
            worker.shutdownNow();
        }
    }

    private static XnioWorker createWorker() throws Settings.InvalidSettingsException {
        OptionMap options =
                OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap();
        try {
            return Xnio.getInstance().createWorker(options);
        } catch (IOException e) {
            throw new Settings.InvalidSettingsException(
                    "no connections can be made: " + e.getMessage());
        }
    }

    /**
     * Sends the request to the address at {@code index} and, while no response is final, to those
     * after it.
     *
     * @param fallback response of the last controller that wasn't ready; null: none has responded
     */
    private void tryAddress(int index, Response fallback) {
        if (index == addresses.size()) {
            response.complete(fallback);
            return;
        }
        client.call(
                addresses.get(index),
                "POST",
                path,
                WireFormat.JSON,
                body,
                CliConstants.OPERATOR_COMMAND_TIMEOUT_MILLIS,
                (status, bytes) -> onResponse(index, fallback, status, bytes));
    }

    private void onResponse(int index, Response fallback, int status, byte[] bytes) {
        ObjectNode responseBody = WireFormat.JSON.decodeMap(bytes);
        if (responseBody == null) {
            // The request may have been carried out after all: the next controller recognizes the
            // change by its id.
            tryAddress(index + 1, fallback);
            return;
        }
        Response received = new Response(status, responseBody);
        boolean notReady = status == 503 && !responseBody.path("unknown").asBoolean();
        if (status == Transport.NO_RESPONSE || notReady) {
            tryAddress(index + 1, received);
        } else {
            response.complete(received);
        }
    }
}
