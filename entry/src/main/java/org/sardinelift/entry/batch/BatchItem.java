package org.sardinelift.entry.batch;

/**
 * One line of a job.
 *
 * @param customId the caller's identifier of the item, unique within the job
 * @param method HTTP method
 * @param url path at the entry, as the caller wrote it
 * @param service service that runs it
 * @param model model or adapter, empty for a plain service
 * @param path path at the target
 * @param body body as JSON text, empty for none
 * @param isRepeatable whether the call may be repeated
 * @param prefixGroup equal for items whose prompts share a prefix on the same model
 * @param storedLine line as stored
 */
record BatchItem(
        String customId,
        String method,
        String url,
        String service,
        String model,
        String path,
        String body,
        boolean isRepeatable,
        String prefixGroup,
        String storedLine) {

    /** Creates an item for an accepted line that no service accepts any more. */
    static BatchItem unroutable(String customId, String reason, String line) {
        return new BatchItem(customId, "", "", "", "", "", reason, false, "", line);
    }

    boolean isRoutable() {
        return !service.isEmpty();
    }
}
