package io.quincelead.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.config.Settings;
import io.quincelead.config.constants.CliConstants;
import io.quincelead.transport.HttpClient;
import io.quincelead.transport.WireFormat;
import io.quincelead.transport.XnioEventLoop;
import java.io.File;
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
import org.xnio.XnioWorker;
import picocli.CommandLine;

/** Asks any controller that answers. */
final class ControllerClient {
    /** Where controllers listen for each other. */
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
    }

    /** Status and body of an answer. */
    record Response(int status, ObjectNode body) {}

    private ControllerClient() {}

    /**
     * The first answer of a controller that is ready; null if none answers. Only what was surely
     * not carried out is asked of the next one.
     */
    static Response send(ControllerAddresses options, String path, ObjectNode body)
            throws Settings.InvalidSettingsException {
        List<String> addresses = new ArrayList<>(options.addresses);
        if (options.settingsFile != null) {
            Settings settings = Settings.load(options.settingsFile);
            addresses.add(settings.clusterListenAddress());
            addresses.addAll(settings.peerAddresses().values());
        }
        if (addresses.isEmpty()) {
            throw new Settings.InvalidSettingsException(
                    "--at or --config is required, to know where the controllers are");
        }
        XnioWorker worker;
        try {
            worker =
                    Xnio.getInstance()
                            .createWorker(
                                    OptionMap.builder()
                                            .set(Options.WORKER_IO_THREADS, 1)
                                            .set(Options.WORKER_TASK_MAX_THREADS, 1)
                                            .set(Options.THREAD_DAEMON, true)
                                            .getMap());
        } catch (java.io.IOException e) {
            throw new Settings.InvalidSettingsException(
                    "no connections can be made: " + e.getMessage());
        }
        try {
            CompletableFuture<Response> response = new CompletableFuture<>();
            worker.getIoThread()
                    .execute(
                            () -> {
                                HttpClient client =
                                        new HttpClient(
                                                new XnioEventLoop(worker.getIoThread()),
                                                worker.getIoThread(),
                                                Set.copyOf(addresses),
                                                1);
                                sendToNext(
                                        client,
                                        addresses,
                                        0,
                                        path,
                                        WireFormat.JSON.encode(body),
                                        response,
                                        null);
                            });
            return response.get(
                    addresses.size() * 2 * CliConstants.OPERATOR_COMMAND_TIMEOUT_MILLIS,
                    TimeUnit.MILLISECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            return null;
        } finally {
            worker.shutdownNow();
        }
    }

    private static void sendToNext(
            HttpClient client,
            List<String> addresses,
            int index,
            String path,
            byte[] body,
            CompletableFuture<Response> response,
            Response fallback) {
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
                (status, bytes) -> {
                    ObjectNode responseBody = WireFormat.JSON.decodeMap(bytes);
                    boolean retryable =
                            status == 503
                                    && responseBody != null
                                    && !responseBody.path("unknown").asBoolean();
                    if (status == 0 || retryable || responseBody == null) {
                        // An answer that didn't come may have been carried out: the next one knows
                        // the change by its id.
                        sendToNext(
                                client,
                                addresses,
                                index + 1,
                                path,
                                body,
                                response,
                                responseBody == null
                                        ? fallback
                                        : new Response(status, responseBody));
                    } else {
                        response.complete(new Response(status, responseBody));
                    }
                });
    }
}
