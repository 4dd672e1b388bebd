package io.quincelead.net;

import io.quincelead.base.Constants;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.channels.StreamSourceChannel;

/** Reads a body as it comes, on the loop. Undertow's own receiver copies it byte by byte. */
final class BodyReader implements ChannelListener<StreamSourceChannel> {
    private final ByteBuffer buffer;
    private final int most;
    private final Consumer<byte[]> whole;
    private final Consumer<IOException> failed;
    private final ByteArrayOutputStream body;

    /**
     * @param buffer takes what one reading brings until it is copied, in the same turn of the loop: one serves all bodies
     * @param length bytes stated by the sender, a hint; negative: none
     * @param most bytes; a larger body fails
     */
    BodyReader(ByteBuffer buffer, long length, int most, Consumer<byte[]> whole, Consumer<IOException> failed) {
        this.buffer = buffer;
        this.most = most;
        this.whole = whole;
        this.failed = failed;
        this.body = new ByteArrayOutputStream(length < 0 ? 512 : (int) Math.min(length, Constants.MAX_BODY_BYTES));
    }

    @Override public void handleEvent(StreamSourceChannel channel) {
        try {
            for (;;) {
                buffer.clear();
                int n = channel.read(buffer);
                if (n < 0) {
                    break;
                }
                if (n == 0) {
                    channel.getReadSetter().set(this);
                    channel.resumeReads();
                    return;
                }
                body.write(buffer.array(), 0, n);
                if (body.size() > most) {
                    throw new IOException("the body is too large");
                }
            }
        } catch (IOException e) {
            failed.accept(e);
            return;
        }
        whole.accept(body.toByteArray());
    }
}
