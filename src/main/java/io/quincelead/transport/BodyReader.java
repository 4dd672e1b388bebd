package io.quincelead.transport;

import io.quincelead.config.constants.TransportConstants;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a body on the event loop as it arrives. It replaces Undertow's receiver, which copies a
 * body byte by byte.
 */
final class BodyReader implements ChannelListener<StreamSourceChannel> {
    private final ByteBuffer buffer;
    private final long expectedBytes;
    private final int maxBytes;
    private final Consumer<byte[]> onComplete;
    private final Consumer<IOException> onFailure;
    private final ByteArrayOutputStream body;

    /**
     * @param buffer holds the bytes of one read until they are copied in the same task of the event
     *     loop, so that all bodies can share one buffer
     * @param expectedBytes length that the sender has announced, used as a hint; negative if
     *     unknown
     * @param maxBytes maximum length; a larger body is a failure
     * @param onComplete receives the complete body
     * @param onFailure receives the reason if the body can't be read
     */
    BodyReader(
            ByteBuffer buffer,
            long expectedBytes,
            int maxBytes,
            Consumer<byte[]> onComplete,
            Consumer<IOException> onFailure) {
        this.buffer = buffer;
        this.expectedBytes = expectedBytes;
        this.maxBytes = maxBytes;
        this.onComplete = onComplete;
        this.onFailure = onFailure;
        this.body =
                new ByteArrayOutputStream(
                        expectedBytes < 0
                                ? 512
                                : (int) Math.min(expectedBytes, TransportConstants.MAX_BODY_BYTES));
    }

    @Override
    public void handleEvent(StreamSourceChannel channel) {
        try {
            for (; ; ) {
                buffer.clear();
                int bytesRead = channel.read(buffer);
                if (bytesRead < 0) {
                    break;
                }
                if (bytesRead == 0) {
                    channel.getReadSetter().set(this);
                    channel.resumeReads();
                    return;
                }
                body.write(buffer.array(), 0, bytesRead);
                if (body.size() > maxBytes || expectedBytes > maxBytes) {
                    throw new BodyTooLargeException(maxBytes);
                }
            }
        } catch (IOException e) {
            onFailure.accept(e);
            return;
        }
        onComplete.accept(body.toByteArray());
    }
}
