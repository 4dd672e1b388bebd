package io.quincelead.transport;

/** Makes calls to other hosts. Responses are delivered on the event loop. */
public interface Transport {
    /**
     * Status of a call that may or may not have been executed: there was no response, or one that
     * can't be read.
     */
    int NO_RESPONSE = 0;

    /** Status of a call that was certainly not executed: its body can't be encoded. */
    int NOT_SENT = -1;

    /** Receives the response to one call. */
    @FunctionalInterface
    interface ResponseHandler {
        /**
         * Called once per call.
         *
         * @param status HTTP status, {@link Transport#NO_RESPONSE} or {@link Transport#NOT_SENT}
         * @param body the body; null without a response
         */
        void onResponse(int status, byte[] body);
    }

    /**
     * Makes a call.
     *
     * @param address host and port
     * @param path the path, with the query if there is one
     * @param format format of the body, for the header Content-Type
     * @param body the encoded body; null for none
     * @param timeoutMillis timeout of the call, including the wait for a connection
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
