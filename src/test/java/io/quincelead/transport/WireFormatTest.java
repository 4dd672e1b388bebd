package io.quincelead.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class WireFormatTest {
    private static byte[] json(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Text that can be decoded but not encoded again got into records and responses. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"a\":\"\\ud83d\"}",
                "{\"a\":\"\\ude00\\ud83d\"}",
                "{\"\\ud83d\":1}",
                "{\"a\":[{\"b\":[\"x\",\"\\udfff y\"]}]}"
            })
    void requestWithAnUnpairedSurrogateIsMalformed(String body) {
        assertNotNull(WireFormat.JSON.decodeMap(json(body)));
        assertNull(WireFormat.JSON.decodeRequest(json(body)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "plain", "\ud83d\ude00", "x\ud83d\ude00y"})
    void wellFormedTextIsDecodedAndEncodedUnchanged(String text) {
        byte[] encoded = WireFormat.CBOR.encode(WireFormat.newMap().put("a", text));

        assertEquals(text, WireFormat.CBOR.decodeRequest(encoded).path("a").asText());
    }
}
