package org.sardinelift.ctl.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.sardinelift.ctl.Json;
import org.sardinelift.ctl.Outcome;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.ctl.http.CallResult;

/** Makes calls whose answer is the outcome of a command. */
final class EntryCalls {
    private EntryCalls() {}

    static Outcome call(
            CommandContext context,
            Address address,
            String method,
            String uri,
            Map<String, String> headers,
            String body) {
        CallResult result = context.client().call(address, method, uri, headers, body);
        if (!(result instanceof CallResult.Answered answered)) {
            return CallResult.failureOutcome(result, address);
        }
        return answered.json().isMissingNode()
                ? Outcome.ok(Json.newObject().put("text", answered.text()), answered.text())
                : Outcome.ok(answered.json(), answered.json().toPrettyString());
    }

    static String urlEncode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
