package io.quincelead.transport;

/** Makes calls to other hosts. Responses are delivered on the event loop. */
public interface Transport {
    /**
     * Status of a call that may or may not have been executed: there was no response, or one that
     * can't be read.
     */
    int NO_RESPONSE = 0;

    /**
     * Status of a call that was executed, and whose response is longer than {@link
     * io.quincelead.config.constants.TransportConstants#MAX_RESPONSE_BYTES}. It isn't read to its
     * end; the same call would get as long a response again.
     */
    int RESPONSE_TOO_LARGE = -2;

    /** Status of a call that was certainly not executed: its body can't be encoded. */
    int NOT_SENT = -1;

    /** Receives the response to one call. */
    @FunctionalInterface
    interface ResponseHandler {
        /**
         * Called once per call.
         *
         * @param status HTTP status, or one of the constants of {@link Transport}
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
