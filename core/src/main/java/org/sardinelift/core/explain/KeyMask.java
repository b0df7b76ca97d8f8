package org.sardinelift.core.explain;

import java.util.Map;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/** Masks callers' keys in texts taken from requests. */
final class KeyMask {
    private static final String KEY_START = "sl_";
    private static final Pattern KEY = Pattern.compile("(?<![A-Za-z0-9])sl_[^\\s,;\"'&?]*");
    private static final String MASKED = "sl_***";

    private KeyMask() {}

    static String mask(String text) {
        return text.contains(KEY_START) ? KEY.matcher(text).replaceAll(MASKED) : text;
    }

    static Map<String, String> mask(Map<String, String> texts) {
        return texts.values().stream().noneMatch(text -> text.contains(KEY_START))
                ? texts
                : texts.entrySet().stream()
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Map.Entry::getKey, entry -> mask(entry.getValue())));
    }
}
