package io.quincelead.cloud;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.base.Constants;
import io.quincelead.base.Loop;
import io.quincelead.base.Settings;
import io.quincelead.net.Codec;
import io.quincelead.net.RateBudget;
import io.quincelead.net.Transport;
import java.util.ArrayDeque;

/** The cloud's protocol, within its limit of calls a second. */
final class CloudClient {
    private final Loop loop;
    private final Transport transport;
    private final String address;
    private final RateBudget budget;
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private boolean pumping;

    CloudClient(Loop loop, Transport transport, Settings settings) {
        this.loop = loop;
        this.transport = transport;
        this.address = settings.cloud();
        this.budget = new RateBudget(loop, settings.cloudLimits().rps() * 0.9, 1.5);
    }

    /** status 0 also stands for a 200 whose body can't be read. */
    @FunctionalInterface
    interface Answer {
        void got(int status, ObjectNode body);
    }

    /** Whether a call that is not urgent should wait its turn. */
    boolean crowded() {
        return waiting.size() > 2;
    }

    void call(String method, String path, ObjectNode body, boolean urgent, Answer answer) {
        Runnable send = () -> transport.call(address, method, path, Codec.CBOR, body == null ? null : Codec.CBOR.write(body),
                Constants.CLOUD_TIMEOUT_MS, (status, bytes) -> {
                    ObjectNode map = Codec.CBOR.readMap(bytes);
                    if (status == 429) {
                        budget.drain();
                    }
                    boolean unreadable = status == 200 && map == null && !path.endsWith("/release");
                    answer.got(unreadable ? Transport.NO_ANSWER : status, map);
                });
        if (urgent) {
            waiting.addFirst(send);
        } else {
            waiting.addLast(send);
        }
        pump();
    }

    private void pump() {
        while (!pumping && !waiting.isEmpty()) {
            if (budget.take(1)) {
                waiting.pollFirst().run();
            } else {
                pumping = true;
                loop.after(Math.max(1, budget.waitMs(1)), () -> {
                    pumping = false;
                    pump();
                });
            }
        }
    }
}
