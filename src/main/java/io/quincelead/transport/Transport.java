package io.quincelead.transport;

/** Calls to other hosts. The answer arrives on the loop. */
public interface Transport {
    /**
     * Status of a call that may or may not have been executed: no answer, or one that can't be
     * read.
     */
    int NO_RESPONSE = 0;

    /** One call's answer. */
    @FunctionalInterface
    interface ResponseHandler {
        void onResponse(int status, byte[] body);
    }

    void call(
            String address,
            String method,
            String path,
            WireFormat codec,
            byte[] body,
            long timeoutMillis,
            ResponseHandler responseHandler);
}
