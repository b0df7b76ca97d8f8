package org.sardinelift.objects.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.batch.Holder;
import org.sardinelift.core.order.LeaseRecord;
import org.sardinelift.core.order.RolloutGoal;
import org.sardinelift.core.order.RolloutPhase;
import org.sardinelift.core.order.RolloutSpec;
import org.sardinelift.core.order.RolloutState;
import org.sardinelift.core.order.RolloutStep;
import org.sardinelift.core.order.StepState;

/** Tests that roll-out objects survive encoding and that all errors are reported. */
class RolloutCodecTest {
    private static final RolloutSpec SPEC =
            new RolloutSpec("r", "i", 7, "s", RolloutGoal.version("m", "2"), 0.75, true);

    @Test
    void encodedObjectsAreDecodedToTheSameValue() {
        assertEquals(
                new DecodeResult.Valid<>(SPEC),
                RolloutCodec.decodeSpec("r", 7, RolloutCodec.encodeSpec(SPEC)));
        RolloutState state =
                new RolloutState(
                        SPEC,
                        3,
                        RolloutPhase.ROLLING_BACK,
                        "t2: no such version",
                        "",
                        new TreeMap<>(
                                Map.of(
                                        "t1", new RolloutStep("", StepState.MOVED),
                                        "t2", new RolloutStep("1", StepState.DOUBTFUL))));
        assertEquals(
                new DecodeResult.Valid<>(state),
                RolloutCodec.decodeState("r", RolloutCodec.encodeState(state)));
        LeaseRecord lease = new LeaseRecord(new Holder("e1", "x"), 1L << 40, 9);
        assertEquals(
                new DecodeResult.Valid<>(lease),
                RolloutCodec.decodeLease(RolloutCodec.encodeLease(lease)));
    }

    @Test
    void everyErrorIsReportedWithItsPath() {
        DecodeResult<RolloutSpec> result =
                RolloutCodec.decodeSpec("r", 1, "{\"action\":\"load\",\"leastServing\":2,\"x\":1}");
        String text = ((DecodeResult.Invalid<RolloutSpec>) result).problems().toString();
        assertTrue(text.contains("rollout/r/leastServing: expected a number from 0"), text);
        assertTrue(text.contains("rollout/r/model"), text);
        assertTrue(text.contains("rollout/r/x"), text);
    }
}
