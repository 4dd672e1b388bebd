package io.quincelead.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.quincelead.cluster.ClusterMembership.LeaderRecord;
import io.quincelead.cluster.ClusterMembership.Member;
import io.quincelead.cluster.ClusterMembership.QuotaShare;
import io.quincelead.cluster.ClusterMembership.Shard;
import io.quincelead.transport.WireFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The stored forms of members ({@code a} address, {@code i} incarnation, {@code g} lease), of the
 * leader ({@code m} member, {@code i} incarnation, {@code t} fencing token), of the counter that
 * issues fencing tokens ({@code n}), and of shards: {@code ms} hosts by fencing token, without
 * their common prefix {@code p}, because one controller may own all machines and its shard must fit
 * one record; {@code al} each team's quota share as {@code [cpus, gpus]}.
 */
final class MembershipCodec {
    private MembershipCodec() {}

    static Member decodeMember(String memberId, JsonNode node) {
        return new Member(
                memberId,
                node.path("a").asText(),
                node.path("i").asLong(),
                node.path("g").asLong());
    }

    static LeaderRecord decodeLeader(JsonNode node) {
        return new LeaderRecord(
                node.path("m").asText(), node.path("i").asLong(), node.path("t").asLong());
    }

    static ObjectNode encode(LeaderRecord leader) {
        return WireFormat.newMap()
                .put("m", leader.memberId())
                .put("i", leader.incarnation())
                .put("t", leader.fencingToken());
    }

    static long decodeTokenCounter(JsonNode node) {
        return node.path("n").asLong();
    }

    static Shard decodeShard(String ownerId, JsonNode node) throws MalformedRecordException {
        String prefix = node.path("p").asText();
        Map<String, Long> fencingTokensByHost = new LinkedHashMap<>();
        Iterator<Map.Entry<String, JsonNode>> hostsByToken = node.path("ms").fields();
        while (hostsByToken.hasNext()) {
            Map.Entry<String, JsonNode> entry = hostsByToken.next();
            long fencingToken = parseToken(entry.getKey());
            for (JsonNode host : entry.getValue()) {
                fencingTokensByHost.put(prefix + host.asText(), fencingToken);
            }
        }
        Map<String, QuotaShare> quotaShares = new LinkedHashMap<>();
        Iterator<Map.Entry<String, JsonNode>> sharesByTeam = node.path("al").fields();
        while (sharesByTeam.hasNext()) {
            Map.Entry<String, JsonNode> entry = sharesByTeam.next();
            JsonNode share = entry.getValue();
            quotaShares.put(
                    entry.getKey(),
                    new QuotaShare(share.path(0).asDouble(), share.path(1).asDouble()));
        }
        return new Shard(ownerId, fencingTokensByHost, quotaShares);
    }

    private static long parseToken(String text) throws MalformedRecordException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new MalformedRecordException("the fencing token is not a number", e);
        }
    }

    static ObjectNode encode(Shard shard) {
        ObjectNode node = WireFormat.newMap();
        Map<String, Long> fencingTokensByHost = shard.fencingTokensByHost();
        String prefix =
                fencingTokensByHost.keySet().stream()
                        .reduce(MembershipCodec::commonPrefix)
                        .orElse("");
        node.put("p", prefix);
        ObjectNode hostsByToken = node.putObject("ms");
        fencingTokensByHost.forEach(
                (host, token) ->
                        hostsByToken.withArray("/" + token).add(host.substring(prefix.length())));
        ObjectNode sharesByTeam = node.putObject("al");
        shard.quotaShares()
                .forEach(
                        (team, share) ->
                                sharesByTeam.putArray(team).add(share.cpus()).add(share.gpus()));
        return node;
    }

    private static String commonPrefix(String left, String right) {
        int length = 0;
        while (length < Math.min(left.length(), right.length())
                && left.charAt(length) == right.charAt(length)) {
            length++;
        }
        return left.substring(0, length);
    }
}
