package io.quincelead.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.transport.WireFormat;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StoreCodecTest {
    private static ObjectNode parse(String json) throws Exception {
        return (ObjectNode) new ObjectMapper().readTree(json.replace('\'', '"'));
    }

    @Test
    void transactionIsEncodedWithTheNamesOfTheProtocol() throws Exception {
        Transaction transaction =
                new Transaction()
                        .requireRevision("a/b/x", 7)
                        .requireRevision("a/j/1", 0)
                        .put("a/j/1", WireFormat.newMap().put("n", 1))
                        .put("a/n/x", WireFormat.newMap(), 12)
                        .remove("a/t/1/0");

        String encoded = transaction.encode().toString();

        assertEquals(
                parse(
                                "{'guards':[{'path':'a/b/x','stamp':7},{'path':'a/j/1','stamp':0}],"
                                        + "'then':[{'put':'a/j/1','value':{'n':1}},"
                                        + "{'put':'a/n/x','value':{},'grant':12},"
                                        + "{'remove':'a/t/1/0'}]}")
                        .toString(),
                encoded);
    }

    @Test
    void laterOperationOnAKeyReplacesTheEarlierOneInItsPlace() throws Exception {
        Transaction transaction =
                new Transaction()
                        .put("a/n/x", WireFormat.newMap(), 12)
                        .remove("a/j/1")
                        .put("a/n/x", WireFormat.newMap().put("n", 2));

        assertEquals(
                parse("{'then':[{'put':'a/n/x','value':{'n':2}},{'remove':'a/j/1'}]}")
                        .get("then")
                        .toString(),
                transaction.encode().get("then").toString());
        assertEquals(2, transaction.operationCount());
    }

    @ParameterizedTest
    @CsvSource({
        "200, COMMITTED, 9",
        "409, CONFLICT, 9",
        "429, THROTTLED, 9",
        "400, INVALID, 9",
        "503, REJECTED, 9",
        "500, INDETERMINATE, 0",
        "0, INDETERMINATE, 0"
    })
    void statusOfACommitDecidesItsResult(int status, Transaction.Result result, long revision)
            throws Exception {
        Transaction.Outcome outcome =
                StoreCodec.decodeOutcome(status, parse("{'generation':9,'failed':['a/b/x']}"));

        assertEquals(result, outcome.result());
        assertEquals(revision, outcome.storeRevision());
        assertEquals(status == 409 ? Set.of("a/b/x") : Set.of(), outcome.failedKeys());
    }

    /** A 400 for an expired lease may be sent again with another lease; no other 400 may. */
    @Test
    void expiredLeaseIsNoInvalidTransaction() throws Exception {
        assertEquals(
                Transaction.Result.REJECTED,
                StoreCodec.decodeOutcome(400, parse("{'error':'no such lease'}")).result());
        assertEquals(
                Transaction.Result.INVALID,
                StoreCodec.decodeOutcome(400, parse("{'error':'too large'}")).result());
    }

    @Test
    void outcomeWithoutABodyHasNoRevisionAndNoFailedKeys() {
        assertEquals(
                new Transaction.Outcome(Transaction.Result.CONFLICT, 0, Set.of()),
                StoreCodec.decodeOutcome(409, null));
    }

    @Test
    void changesAreDeliveredInStoreOrderAndUnknownOnesSkipped() throws Exception {
        List<String> seen = new ArrayList<>();
        StoreCodec.ChangeSink sink =
                new StoreCodec.ChangeSink() {
                    @Override
                    public void onPut(String key, JsonNode value, long modRevision) {
                        seen.add("put " + key + " " + value + " " + modRevision);
                    }

                    @Override
                    public void onRemove(String key, long revision) {
                        seen.add("remove " + key + " " + revision);
                    }
                };
        ObjectNode body =
                parse(
                        "{'news':[{'put':'a/j/2','value':{'n':1},'stamp':4},{'stamp':5},"
                                + "{'remove':'a/j/1','stamp':6}]}");

        assertTrue(StoreCodec.decodeChanges(body, sink));
        assertFalse(StoreCodec.decodeChanges(parse("{}"), sink));

        assertEquals(List.of("put a/j/2 {\"n\":1} 4", "remove a/j/1 6"), seen);
    }

    @ParameterizedTest
    @CsvSource({"'{''grant'':12}', 12", "'{''grant'':''12''}', -1", "'{}', -1"})
    void leaseIdIsANumberOrAbsent(String body, long leaseId) throws Exception {
        assertEquals(
                leaseId < 0 ? OptionalLong.empty() : OptionalLong.of(leaseId),
                StoreCodec.leaseId(parse(body)));
    }
}
