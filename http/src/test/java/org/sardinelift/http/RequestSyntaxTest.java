package org.sardinelift.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class RequestSyntaxTest {
    private static Optional<String> findFault(String uri, String name, String value) {
        return RequestSyntax.findFault(uri, List.of(Map.entry(name, value)));
    }

    @Test
    void usualRequestsCanBeSent() {
        assertEquals(Optional.empty(), findFault("/a/b?q=%20\u00fc", "X-Own", "a\tb \u00e6"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a\r\nX: b", "a\nb", "a\rb", "a\u0000b", "a\u007fb"})
    void controlCharactersAreFaults(String text) {
        assertFalse(findFault("/" + text, "X", "v").isEmpty());
        assertFalse(findFault("/", text, "v").isEmpty());
        assertFalse(findFault("/", "X", text).isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a", "http://a/b", "/a b", "/a#b"})
    void aTargetThatIsNoPathIsAFault(String uri) {
        assertFalse(findFault(uri, "X", "v").isEmpty());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "a b", "a:b", "\u00fc"})
    void aNameThatIsNoTokenIsAFault(String name) {
        assertFalse(findFault("/", name, "v").isEmpty());
    }
}
