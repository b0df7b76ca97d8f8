package org.sardinelift.entry;

import java.util.List;
import java.util.Map;
import org.sardinelift.http.HttpResponseListener;

/** A listener that ignores the answer. */
final class IgnoringAnswerListener implements HttpResponseListener {
    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {}

    @Override
    public void onData(byte[] part) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {}
}
