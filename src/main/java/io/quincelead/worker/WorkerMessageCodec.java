package io.quincelead.worker;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;

/** Encodes the messages to workers. The messages from workers are parsed by {@link Heartbeat}. */
final class WorkerMessageCodec {
    private WorkerMessageCodec() {}

    /** Creates a heartbeat response with the fencing token and an empty list of commands. */
    static ObjectNode newHeartbeatResponse(long fencingToken) {
        ObjectNode response = WireFormat.newMap().put("epoch", fencingToken);
        response.putArray("orders");
        return response;
    }

    /** The list of commands in a heartbeat response. */
    static ArrayNode commandsOf(ObjectNode heartbeatResponse) {
        return (ArrayNode) heartbeatResponse.get("orders");
    }

    /**
     * Encodes a direct command message, which only the worker process of that agent epoch accepts.
     */
    static byte[] encodeDirectCommands(long fencingToken, long agentEpoch, ArrayNode commands) {
        ObjectNode message =
                WireFormat.newMap().put("epoch", fencingToken).put("tenure", agentEpoch);
        message.set("orders", commands);
        return WireFormat.CBOR.encode(message);
    }

    /**
     * Encodes the body that redirects a worker to another controller; if the ID is null, the worker
     * tries all controllers in turn.
     */
    static ObjectNode encodeRedirect(String controllerId) {
        ObjectNode body = WireFormat.newMap();
        if (controllerId != null) {
            body.put("controller", controllerId);
        }
        return body;
    }

    static void addStart(ArrayNode commands, String taskId, long attempt) {
        addCommand(commands, "start", taskId, attempt);
    }

    /** Adds a kill; before it, the task gets {@code graceSeconds} to save a checkpoint. */
    static void addKill(ArrayNode commands, String taskId, long attempt, double graceSeconds) {
        addCommand(commands, "kill", taskId, attempt).put("drainS", graceSeconds);
    }

    /** Adds a clear: the termination of this attempt is on record, so the worker may discard it. */
    static void addClear(ArrayNode commands, String taskId, long attempt) {
        addCommand(commands, "clear", taskId, attempt);
    }

    private static ObjectNode addCommand(
            ArrayNode commands, String verb, String taskId, long attempt) {
        return commands.addObject().put("verb", verb).put("member", taskId).put("try", attempt);
    }
}
