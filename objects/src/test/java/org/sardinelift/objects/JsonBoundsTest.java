package org.sardinelift.objects;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class JsonBoundsTest {
    private static JsonNode read(String text) throws IOException {
        return ObjectJson.MAPPER.readTree(JsonBounds.apply(text));
    }

    @Test
    void whatIsInBoundsIsKept() {
        String text = "{\"a\":[1,-2.5e10,true,null,\"[{\\\"\\\\\",{}],\"e\":false}";

        assertEquals(text, JsonBounds.apply(text));
    }

    /** The parser refuses the whole list for one such object. */
    @Test
    void oneDeeplyNestedValueDoesNotHideTheOthers() throws IOException {
        String deep = "[".repeat(100_000) + "]".repeat(100_000);

        JsonNode list = read("{\"items\":[{\"a\":" + deep + "},{\"a\":\"]\"}]}").path("items");

        assertEquals(2, list.size());
        assertEquals("]", list.get(1).path("a").asText());
    }

    @Test
    void oneLongNumberDoesNotHideTheOthers() throws IOException {
        String longNumber = "9".repeat(5_000);

        JsonNode list = read("[{\"slots\":" + longNumber + "},{\"slots\":-1.5E3}]");

        assertEquals("{\"slots\":null}", list.get(0).toString());
        assertEquals(-1_500, list.get(1).path("slots").asInt());
    }

    @Property(tries = 300)
    void anyTextIsReadToItsEnd(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder text = new StringBuilder();
        String parts = "[]{}\"\\:,-+.eE019tn \u6f22";
        for (int i = random.nextInt(400); i > 0; i--) {
            text.append(parts.charAt(random.nextInt(parts.length())));
        }

        String bounded = JsonBounds.apply("[".repeat(random.nextInt(200)) + text);

        assertEquals(bounded, JsonBounds.apply(bounded));
    }
}
