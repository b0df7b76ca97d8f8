package org.sardinelift.objects.kinds;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinelift.core.limit.MemberId;
import org.sardinelift.core.limit.Shares;

class SharesCodecTest {
    @Test
    void whatIsWrittenIsReadBack() {
        MemberId id = new MemberId("e/1", "i-1");
        Shares shares = Shares.initial().addMember(id, 3).transferFromPool(id, 1_000);
        assertEquals(
                new DecodeResult.Valid<>(shares), SharesCodec.decode(SharesCodec.encode(shares)));
    }

    @Test
    void unitsAreNotFreshWhereNothingSaysSo() {
        DecodeResult<Shares> read = SharesCodec.decode("{\"pool\": 720720, \"members\": []}");
        assertEquals(new DecodeResult.Valid<>(new Shares(Shares.TOTAL_UNITS, 0, Map.of())), read);
    }

    @Test
    void moreFreshUnitsThanThePoolHoldsAreRefused() {
        assertInstanceOf(
                DecodeResult.Invalid.class,
                SharesCodec.decode(
                        "{\"pool\": 0, \"fresh\": 1, \"members\": [{\"instance\": \"e\","
                                + " \"incarnation\": \"i\", \"units\": 720720}]}"));
    }

    @Test
    void unitsThatDoNotAddUpAreRefused() {
        assertInstanceOf(
                DecodeResult.Invalid.class, SharesCodec.decode("{\"pool\": 5, \"members\": []}"));
    }
}
