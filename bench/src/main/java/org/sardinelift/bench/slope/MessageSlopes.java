package org.sardinelift.bench.slope;

import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.stream.IntStream;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.sardinelift.protocol.generated.Data;
import org.sardinelift.protocol.generated.Frame;
import org.sardinelift.protocol.generated.Heartbeat;
import org.sardinelift.protocol.generated.HeartbeatAck;
import org.sardinelift.protocol.generated.LoadReport;
import org.sardinelift.protocol.generated.Revision;

/** Size of messages and the time to encode and decode them. */
final class MessageSlopes {
    private static final int[] MODELS = {1, 2, 4, 11};
    private static final int[] INSTANCES = {64, 256, 734, 1024};
    private static final int[] EXPONENTS = {8, 16, 24, 32};
    private static final int[] TOKEN_BYTES = {16, 64, 256, 1024};
    private static final int[] LEASES = {1, 4, 8, 16};
    private static final int LENGTH_FIELD_BYTES = 4;
    private static final String ID = "0b54cf3d-9f0a-4a53-8f0c-1c0a5a1f7a11";

    private MessageSlopes() {}

    static List<Slope> measure() {
        return List.of(
                Slope.measure(
                        "companion",
                        "load report",
                        "models loaded",
                        "bytes",
                        MODELS,
                        models -> bytes(report(models))),
                Slope.measure(
                        "entry",
                        "load report decoded",
                        "models loaded",
                        "ns",
                        MODELS,
                        models -> decodeTime(report(models))),
                Slope.measure(
                        "companion",
                        "data frame of a stream",
                        "body bytes",
                        "bytes",
                        TOKEN_BYTES,
                        size -> bytes(data(size))),
                Slope.measure(
                        "companion",
                        "data frame of a stream encoded and decoded",
                        "body bytes",
                        "ns",
                        TOKEN_BYTES,
                        size -> encodeTime(data(size)) + decodeTime(data(size))),
                Slope.measure(
                        "any",
                        "heartbeat and its answer",
                        "bits of the sequence",
                        "bytes",
                        EXPONENTS,
                        bits -> heartbeatBytes(1L << bits)),
                Slope.measure(
                        "entry",
                        "peer's revision",
                        "bits of the revision",
                        "bytes",
                        EXPONENTS,
                        bits -> bytes(Frame.revision(new Revision(1L << bits, 100, true)))),
                Slope.measure(
                        "entry",
                        "platform's list of instances",
                        "instances",
                        "bytes",
                        INSTANCES,
                        MessageSlopes::listBytes),
                Slope.measure(
                        "entry",
                        "watch's answer of lease changes",
                        "leases",
                        "bytes",
                        LEASES,
                        MessageSlopes::leaseBytes));
    }

    private static double bytes(Frame frame) {
        return LENGTH_FIELD_BYTES + encode(frame).length;
    }

    private static double heartbeatBytes(long sequence) {
        return bytes(Frame.heartbeat(new Heartbeat(sequence, 0)))
                + bytes(Frame.heartbeatAck(new HeartbeatAck(sequence)));
    }

    private static double encodeTime(Frame frame) {
        return Measurements.medianNanos(() -> encode(frame));
    }

    private static double decodeTime(Frame frame) {
        byte[] encoded = encode(frame);
        return Measurements.medianNanos(() -> decode(encoded));
    }

    private static byte[] encode(Frame frame) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(frame);
        } catch (TException e) {
            throw new IllegalStateException("a frame can't be encoded", e);
        }
    }

    private static void decode(byte[] encoded) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(new Frame(), encoded);
        } catch (TException e) {
            throw new IllegalStateException("a frame encoded by this process can't be decoded", e);
        }
    }

    private static Frame data(int size) {
        return Frame.data(new Data(ID, 1, 4_096, ByteBuffer.wrap(new byte[size])));
    }

    private static Frame report(int models) {
        LoadReport report =
                new LoadReport()
                        .setTarget("replica-0512")
                        .setTargetIncarnation(ID)
                        .setServiceName("registry-llm")
                        .setZone("hinchinbrook")
                        .setSlots(64)
                        .setOnlineRunning(40)
                        .setOnlineQueued(3)
                        .setBatchRunning(20)
                        .setBatchFree(4)
                        .setModels(names(models))
                        .setLeaving(false)
                        .setHealthy(true)
                        .setFence(7);
        return Frame.loadReport(report);
    }

    private static List<String> names(int models) {
        return IntStream.range(0, models).mapToObj(index -> "registry-model-" + index).toList();
    }

    private static double listBytes(int instances) {
        var root = JsonMapper.builder().build().createObjectNode();
        ArrayNode list = root.putArray("instances");
        for (int index = 0; index < instances; index++) {
            list.addObject()
                    .put("name", "companion-" + index)
                    .put("role", "companion")
                    .put("zone", "hinchinbrook")
                    .put("host", "10.0." + index / 256 + "." + index % 256)
                    .put("port", 7071)
                    .put("target", "replica-" + index)
                    .put("leaving", false);
        }
        return root.toString().length();
    }

    /** Returns the size of a list of leases without loads of lanes, the smallest leases. */
    private static double leaseBytes(int leases) {
        JsonMapper mapper = JsonMapper.builder().build();
        var root = mapper.createObjectNode().put("revision", 1_000_000);
        ArrayNode changes = root.putArray("changes");
        for (int index = 0; index < leases; index++) {
            ObjectNode change = describe(changes.addObject(), index);
            String value =
                    mapper.createObjectNode()
                            .put("incarnation", ID)
                            .put("renewals", 10_000)
                            .set("loads", mapper.createObjectNode())
                            .toString();
            describe(change.putObject("object"), index).put("version", 10_000).put("value", value);
        }
        return root.toString().length();
    }

    private static ObjectNode describe(ObjectNode node, int index) {
        return node.put("kind", "lease")
                .put("name", "batch/entry-" + index)
                .put("revision", 999_999);
    }
}
