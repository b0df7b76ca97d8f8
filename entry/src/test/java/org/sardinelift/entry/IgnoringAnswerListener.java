package org.sardinelift.entry;

import java.util.List;
import java.util.Map;
import org.sardinelift.http.HttpAnswerListener;

/** A listener that ignores the answer. */
final class IgnoringAnswerListener implements HttpAnswerListener {
    @Override
    public void onHead(int status, List<Map.Entry<String, String>> headers) {}

    @Override
    public void onData(byte[] part) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(Throwable cause, boolean mayHaveRun) {}
}
