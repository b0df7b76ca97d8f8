package org.sardinelift.ctl;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Formats rows of text in aligned columns. */
public final class TextTable {
    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    private TextTable(List<String> header) {
        rows.add(header);
    }

    /**
     * Creates a table.
     *
     * @param columns titles of the columns
     * @return a table without rows
     */
    public static TextTable withColumns(String... columns) {
        return new TextTable(List.of(columns));
    }

    /**
     * Adds a row.
     *
     * @param cells text of each column
     * @return this table
     */
    public TextTable addRow(String... cells) {
        rows.add(List.of(cells));
        return this;
    }

    @Override
    public String toString() {
        int[] widths =
                IntStream.range(0, rows.get(0).size())
                        .map(
                                column ->
                                        rows.stream()
                                                .mapToInt(row -> width(row, column))
                                                .max()
                                                .orElse(0))
                        .toArray();
        return rows.stream().map(row -> formatRow(row, widths)).collect(Collectors.joining("\n"));
    }

    private static int width(List<String> row, int column) {
        return row.get(column).length();
    }

    private static String formatRow(List<String> row, int[] widths) {
        return IntStream.range(0, row.size())
                .mapToObj(
                        column -> row.get(column) + " ".repeat(widths[column] - width(row, column)))
                .collect(Collectors.joining(COLUMN_GAP))
                .stripTrailing();
    }
}
