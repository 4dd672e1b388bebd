package io.quincelead.transport;

/** Calls to other hosts. The response arrives on the event loop. */
public interface Transport {
    /**
     * Status of a call that may or may not have been executed: no response, or one that can't be
     * read.
     */
    int NO_RESPONSE = 0;

    /** Takes one call's response. */
    @FunctionalInterface
    interface ResponseHandler {
        /**
         * Called once.
         *
         * @param status HTTP status, or {@link Transport#NO_RESPONSE}
         * @param body null without a response
         */
        void onResponse(int status, byte[] body);
    }

    /**
     * Makes a call.
     *
     * @param address host and port
     * @param path with its query, if any
     * @param format of the body, for the header Content-Type
     * @param body null: none
     * @param timeoutMillis from now; waiting for a connection counts
     */
    void call(
            String address,
            String method,
            String path,
            WireFormat format,
            byte[] body,
            long timeoutMillis,
            ResponseHandler responseHandler);
}
