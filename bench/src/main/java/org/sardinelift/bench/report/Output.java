package org.sardinelift.bench.report;

import java.io.IOException;
import java.nio.file.Path;

/** Results of one command that can be printed and written to files. */
public interface Output {

    /**
     * Formats the results as a table.
     *
     * @return lines of aligned text
     */
    String table();

    /**
     * Writes the results to files, such as {@code NAME.json} and {@code NAME.svg}.
     *
     * @param folder folder of the files; it is created if absent
     * @param name file name without extension
     * @throws IOException if the files can't be written
     */
    void write(Path folder, String name) throws IOException;
}
