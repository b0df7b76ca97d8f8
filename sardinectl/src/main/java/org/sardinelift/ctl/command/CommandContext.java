package org.sardinelift.ctl.command;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.ParseException;
import org.sardinelift.ctl.http.Address;
import org.sardinelift.ctl.http.Connections;
import org.sardinelift.objects.ObjectStore;

/**
 * What a command runs with.
 *
 * @param line parsed options and arguments
 * @param environment environment variables
 * @param connections the means to call
 * @param in standard input
 * @param out standard output
 */
public record CommandContext(
        CommandLine line,
        Map<String, String> environment,
        Connections connections,
        InputStream in,
        PrintStream out) {
    static final String PLATFORM_VARIABLE = "SARDINELIFT_PLATFORM";
    static final String ENTRY_VARIABLE = "SARDINELIFT_ENTRY";
    static final String OPERATORS_VARIABLE = "SARDINELIFT_OPERATORS";
    static final String KEY_VARIABLE = "SARDINELIFT_KEY";
    static final String PEPPER_VARIABLE = "SARDINELIFT_PEPPER";

    ObjectStore platform() throws ParseException {
        return connections.platform(Address.parse(required("platform", PLATFORM_VARIABLE)));
    }

    Address entry() throws ParseException {
        return Address.parse(required("entry", ENTRY_VARIABLE));
    }

    List<Address> operators() throws ParseException {
        return Address.parseList(required("operators", OPERATORS_VARIABLE));
    }

    Map<String, String> authorization() throws ParseException {
        return Map.of("authorization", "Bearer " + required("key", KEY_VARIABLE));
    }

    String required(String option, String variable) throws ParseException {
        return given(option, variable)
                .orElseThrow(
                        () ->
                                new ParseException(
                                        "--" + option + " is missing; set it or " + variable));
    }

    Optional<String> given(String option, String variable) {
        return Optional.ofNullable(line.getOptionValue(option))
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(value -> !value.isBlank());
    }

    String required(String option) throws ParseException {
        String value = line.getOptionValue(option);
        if (value == null) {
            throw new ParseException("--" + option + " is missing");
        }
        return value;
    }

    int number(String option, int fallback) throws ParseException {
        String value = line.getOptionValue(option);
        if (value == null) {
            return fallback;
        }
        try {
            return Integer.parseInt(value);
        } catch (NumberFormatException e) {
            throw new ParseException("--" + option + ": expected a whole number, found " + value);
        }
    }

    String argument(int index, String name) throws ParseException {
        List<String> arguments = line.getArgList();
        if (arguments.size() <= index) {
            throw new ParseException("the argument " + name + " is missing");
        }
        return arguments.get(index);
    }

    boolean json() {
        return "json".equals(line.getOptionValue("output"));
    }

    /** Text of a file, or of standard input where the name is {@code -}. */
    String text(String file) throws ParseException {
        try {
            return file.equals("-")
                    ? new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new ParseException(file + " can't be read as UTF-8 text: " + e);
        }
    }
}
