package org.sardinelift.objects;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** URI paths of objects; each segment is percent-encoded (RFC 3986). */
final class ObjectPath {
    private ObjectPath() {}

    static String of(ObjectKey key) {
        return "/objects/" + encode(key.kind()) + "/" + encode(key.name());
    }

    static String encode(String part) {
        return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
