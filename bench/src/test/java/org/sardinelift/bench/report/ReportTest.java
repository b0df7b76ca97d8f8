package org.sardinelift.bench.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.StringReader;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xml.sax.InputSource;
import org.xml.sax.SAXException;

final class ReportTest {

    @Test
    void tableJsonAndPlotContainEveryMeasure(@TempDir Path folder)
            throws IOException, ParserConfigurationException, SAXException {
        Report report =
                Report.of("a < b & c")
                        .add("entry", "p99", 12.5, "ms")
                        .add("direct", "p99", 0, "ms");
        report.write(folder, "figures");
        assertTrue(report.table().contains("12.500 ms"));
        var json = JsonMapper.builder().build().readTree(folder.resolve("figures.json").toFile());
        assertEquals(12.5, json.at("/measures/0/value").asDouble());
        String svg = Files.readString(folder.resolve("figures.svg"));
        var root =
                DocumentBuilderFactory.newInstance()
                        .newDocumentBuilder()
                        .parse(new InputSource(new StringReader(svg)))
                        .getDocumentElement();
        assertEquals(3, root.getElementsByTagName("rect").getLength());
        assertTrue(root.getTextContent().contains("12.500"));
    }
}
