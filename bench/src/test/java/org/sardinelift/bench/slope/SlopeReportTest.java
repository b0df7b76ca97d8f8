package org.sardinelift.bench.slope;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xml.sax.InputSource;
import org.xml.sax.SAXException;

final class SlopeReportTest {
    private static final double EXACT = 1e-9;

    private static Slope line() {
        return Slope.measure(
                "entry", "a < b", "teams", "bytes", new int[] {1, 2, 4, 8}, size -> 7 + 3 * size);
    }

    @Test
    void fitsPointsOnALineExactly() {
        assertEquals(3, line().perUnit(), EXACT);
        assertEquals(7, line().intercept(), EXACT);
    }

    @Test
    void fitsTheLeastSquaresLineToOtherPoints() {
        List<Point> points = List.of(new Point(0, 0), new Point(1, 2), new Point(2, 1));
        Slope slope = new Slope("entry", "name", "teams", "bytes", points);
        assertEquals(0.5, slope.perUnit(), EXACT);
        assertEquals(0.5, slope.intercept(), EXACT);
    }

    @Test
    void rejectsASinglePoint() {
        List<Point> points = List.of(new Point(1, 1));
        assertThrows(
                IllegalArgumentException.class,
                () -> new Slope("entry", "name", "teams", "bytes", points));
    }

    @Test
    void tableJsonAndPlotContainEveryPoint(@TempDir Path folder)
            throws IOException, ParserConfigurationException, SAXException {
        SlopeReport report = SlopeReport.of(List.of(line()));
        report.write(folder, "slopes");
        assertTrue(report.table().contains("7 + 3 x teams bytes"));
        var json = JsonMapper.builder().build().readTree(folder.resolve("slopes.json").toFile());
        assertEquals(31, json.at("/0/points/3/value").asDouble());
        assertEquals(3, json.at("/0/perUnit").asDouble(), EXACT);
        String svg = Files.readString(folder.resolve("slopes.svg"));
        var root =
                DocumentBuilderFactory.newInstance()
                        .newDocumentBuilder()
                        .parse(new InputSource(new StringReader(svg)))
                        .getDocumentElement();
        assertEquals(4, root.getElementsByTagName("circle").getLength());
    }
}
