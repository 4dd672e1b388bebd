package io.quincelead.autoscaler;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards the encoding of the cloud's messages and of the stored provisioning requests against
 * changes.
 */
class CloudCodecTest {
    private static final ProvisioningRequest REQUEST =
            new ProvisioningRequest("r-7-3-1", "small", "a", true, 12);

    private static ObjectNode json(String text) throws JsonProcessingException {
        return (ObjectNode) new ObjectMapper().readTree(text.replace('\'', '"'));
    }

    @Test
    void requestHasTheCloudsFieldsInOrder() {
        assertEquals(
                "{'rental':'r-7-3-1','shape':'small','site':'a','preemptible':true,'howMany':12}"
                        .replace('\'', '"'),
                CloudCodec.encodeRequest(REQUEST).toString());
        assertEquals(
                "{\"hosts\":[\"h1\",\"h2\"]}",
                CloudCodec.encodeRelease(List.of("h1", "h2")).toString());
    }

    @Test
    void recordIsReadAsItWasWritten() {
        ObjectNode node = ProvisioningRequestCodec.encode(REQUEST);

        assertEquals("{'k':'small','s':'a','p':true,'n':12}".replace('\'', '"'), node.toString());
        assertEquals(REQUEST, ProvisioningRequestCodec.decode("r-7-3-1", node));
        assertEquals("{\"n\":9}", ProvisioningRequestCodec.encodeCounter(9).toString());
    }

    @Test
    void recordWithoutFieldsHasDefaults() throws JsonProcessingException {
        assertEquals(
                new ProvisioningRequest("r", "", "", false, 0),
                ProvisioningRequestCodec.decode("r", json("{}")));
        assertEquals(0, ProvisioningRequestCodec.decodeCounter(json("{}")));
    }

    @Test
    void onlyDefinitiveResponseResolvesRequest() throws JsonProcessingException {
        assertEquals(
                new ProvisioningResult.Provisioned(List.of("h1", "h2")),
                CloudCodec.decodeResult(200, json("{'hosts':['h1','h2']}")));
        assertInstanceOf(
                ProvisioningResult.NoCapacity.class,
                CloudCodec.decodeResult(503, json("{'error':'no capacity left'}")));
        assertInstanceOf(ProvisioningResult.Malformed.class, CloudCodec.decodeResult(400, null));
        for (int status : new int[] {0, 200, 429, 500, 503}) {
            assertInstanceOf(
                    ProvisioningResult.Unknown.class,
                    CloudCodec.decodeResult(status, json("{'error':'try later'}")));
        }
        assertInstanceOf(ProvisioningResult.Unknown.class, CloudCodec.decodeResult(503, null));
    }

    @Test
    void listedMachineMayLackItsAddress() throws JsonProcessingException {
        InstancePage page =
                CloudCodec.decodeInstances(
                        json(
                                "{'hosts':[{'nameId':'h1','shape':'small','site':'a','preemptible':true,"
                                    + "'addr':'10.0.0.1:80','status':'failed','ageS':3.5},"
                                    + "{'nameId':'h2','addr':null,'status':'up'}],"
                                    + "'truncated':true}"));

        assertEquals(
                new InstancePage(
                        List.of(
                                new InstancePage.Instance(
                                        "h1", "small", "a", true, "10.0.0.1:80", true, 3.5),
                                new InstancePage.Instance("h2", "", "", false, null, false, 0)),
                        true),
                page);
        assertNull(page.instances().get(1).address());
        assertFalse(CloudCodec.decodeInstances(json("{}")).isTruncated());
    }

    @Test
    void machineTypeWithoutRequiredFieldIsLeftOut() throws JsonProcessingException {
        ObjectNode catalog =
                json(
                        "{'shapes':[{'label':'small','vcpus':8,'ramGb':32,'sites':['a']},"
                                + "{'label':'','vcpus':8,'ramGb':32,'sites':['a']},"
                                + "{'label':'x','vcpus':0,'ramGb':32,'sites':['a']},"
                                + "{'label':'y','vcpus':8,'ramGb':0,'sites':['a']},"
                                + "{'label':'z','vcpus':8,'ramGb':32,'sites':[]}]}");

        assertEquals(
                List.of("small"),
                CloudCodec.decodeCatalog(catalog).stream().map(type -> type.name()).toList());
        assertFalse(CloudCodec.isCatalog(json("{'shapes':{}}")));
    }
}
