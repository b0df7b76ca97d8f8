package org.sardinelift.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.stream.StreamSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sardinelift.http.BufferedHttpResponse;

/**
 * Guards against explanations that miss decisions of other entries, leave out instances that did
 * not answer, or show callers' keys.
 */
class ExplainerTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EntryFixture fixture;
    private EntryProcess first;
    private EntryProcess second;

    @BeforeEach
    void start() throws Exception {
        fixture = EntryFixture.create();
        fixture.startCompanion("c1", "engine", "m1");
        first = fixture.startEntry("e1");
        second = fixture.startEntry("e2");
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void anotherEntryExplainsACallAndNamesInstancesThatDoNotAnswer() throws Exception {
        String id = id(fixture.chat(first, "{\"model\":\"m1\",\"messages\":[{}]}"));
        JsonNode explanation = explain(second, id);
        assertEquals(List.of("admitted", "routed", "answered"), texts(explanation, "action"));
        assertEquals(List.of("e1", "e1", "e1"), texts(explanation, "instance"));
        assertEquals("blue", explanation.at("/decisions/0/figures/team").asText());
        assertEquals("c1", explanation.at("/decisions/1/figures/at").asText());
        assertEquals(
                "c1", explanation.at("/silent/0").asText(), "the fake companion answers nothing");

        first.close();
        assertEquals(List.of("e1"), names(explain(second, id).path("silent")));
    }

    @Test
    void aRefusalIsExplainedWithItsKindAndWithoutTheKey() throws Exception {
        String id =
                id(
                        fixture.send(
                                first,
                                "GET",
                                "/v1/" + EntryFixture.KEY,
                                EntryFixture.authorized(),
                                ""));
        JsonNode explanation = explain(first, id);
        assertEquals(List.of("refused"), texts(explanation, "action"));
        assertEquals("not_found", explanation.at("/decisions/0/figures/kind").asText());
        assertFalse(explanation.toString().contains(EntryFixture.KEY), explanation.toString());
    }

    private JsonNode explain(EntryProcess entry, String subject) throws Exception {
        return MAPPER.readTree(fixture.getFromOperatorPort(entry, "/explain?subject=" + subject));
    }

    private static String id(BufferedHttpResponse answer) {
        return answer.header("x-request-id");
    }

    private static List<String> texts(JsonNode explanation, String field) {
        return explanation.path("decisions").findValuesAsText(field);
    }

    private static List<String> names(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false).map(JsonNode::asText).toList();
    }
}
