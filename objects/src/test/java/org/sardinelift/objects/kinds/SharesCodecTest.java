package org.sardinelift.objects.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.Shares;

/** Tests that shares survive encoding and that inconsistent shares are refused. */
class SharesCodecTest {
    @Test
    void encodedSharesAreDecodedToTheSameValue() {
        MemberId id = new MemberId("e/1", "i-1");
        Shares shares = Shares.initial().addMember(id, 3).transferFromPool(id, 1_000);
        assertEquals(
                new DecodeResult.Valid<>(shares), SharesCodec.decode(SharesCodec.encode(shares)));
    }

    @Test
    void noUnitsAreFreshIfTheFieldIsMissing() {
        DecodeResult<Shares> read = SharesCodec.decode("{\"pool\": 720720, \"members\": []}");
        assertEquals(new DecodeResult.Valid<>(new Shares(Shares.TOTAL_UNITS, 0, Map.of())), read);
    }

    @Test
    void moreFreshUnitsThanInThePoolAreRefused() {
        assertInstanceOf(
                DecodeResult.Invalid.class,
                SharesCodec.decode(
                        "{\"pool\": 0, \"fresh\": 1, \"members\": [{\"instance\": \"e\","
                                + " \"incarnation\": \"i\", \"units\": 720720}]}"));
    }

    @Test
    void unitsThatDoNotAddUpToTheTotalAreRefused() {
        assertInstanceOf(
                DecodeResult.Invalid.class, SharesCodec.decode("{\"pool\": 5, \"members\": []}"));
    }
}
