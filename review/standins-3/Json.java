import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Minimal JSON: maps, lists, strings, numbers (Long or Double), booleans and null. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json json = new Json(text);
        Object value = json.value();
        json.space();
        if (json.at != text.length()) {
            throw new IllegalArgumentException("text after the JSON value");
        }
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return value instanceof Map ? (Map<String, Object>) value : Map.of();
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value instanceof List ? (List<Object>) value : List.of();
    }

    private void space() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private char next() {
        space();
        if (at >= text.length()) {
            throw new IllegalArgumentException("the JSON text ends early");
        }
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        if (c == '{') {
            at++;
            Map<String, Object> map = new LinkedHashMap<>();
            while (next() != '}') {
                if (text.charAt(at) == ',') {
                    at++;
                    continue;
                }
                String key = (String) value();
                if (next() != ':') {
                    throw new IllegalArgumentException("no colon after a key");
                }
                at++;
                map.put(key, value());
            }
            at++;
            return map;
        }
        if (c == '[') {
            at++;
            List<Object> list = new ArrayList<>();
            while (next() != ']') {
                if (text.charAt(at) == ',') {
                    at++;
                    continue;
                }
                list.add(value());
            }
            at++;
            return list;
        }
        if (c == '"') {
            return string();
        }
        int begin = at;
        while (at < text.length() && ",]} \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
        String word = text.substring(begin, at);
        switch (word) {
            case "true":
                return true;
            case "false":
                return false;
            case "null":
                return null;
            default:
                return word.matches("-?\\d+") ? (Object) Long.parseLong(word) : Double.valueOf(word);
        }
    }

    private String string() {
        at++;
        int end = at;
        StringBuilder out = null;
        while (text.charAt(end) != '"') {
            if (text.charAt(end) != '\\') {
                if (out != null) {
                    out.append(text.charAt(end));
                }
                end++;
                continue;
            }
            if (out == null) {
                out = new StringBuilder(text.length() - at).append(text, at, end);
            }
            char escape = text.charAt(end + 1);
            end += 2;
            if (escape == 'u') {
                out.append((char) Integer.parseInt(text.substring(end, end + 4), 16));
                end += 4;
            } else {
                int index = "bfnrt".indexOf(escape);
                out.append(index < 0 ? escape : "\b\f\n\r\t".charAt(index));
            }
        }
        String result = out == null ? text.substring(at, end) : out.toString();
        at = end + 1;
        return result;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String separator = "";
            for (Object each : list) {
                out.append(separator);
                write(each, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (int i = 0; i < string.length(); i++) {
                char c = string.charAt(i);
                if (c == '"' || c == '\\') {
                    out.append('\\').append(c);
                } else if (c < ' ') {
                    out.append(String.format("\\u%04x", (int) c));
                } else {
                    out.append(c);
                }
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }
}
