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
import org.sardinelift.ctl.http.ApiClient;
import org.sardinelift.objects.ObjectStore;

/**
 * Command line, environment, client and streams of a command.
 *
 * @param line parsed options and arguments
 * @param environment environment variables
 * @param client client for calls to the platform and the instances
 * @param in standard input
 * @param out standard output
 */
public record CommandContext(
        CommandLine line,
        Map<String, String> environment,
        ApiClient client,
        InputStream in,
        PrintStream out) {
    static final String PLATFORM_VARIABLE = "SARDINELIFT_PLATFORM";
    static final String STORE_VARIABLE = "SARDINELIFT_STORE";
    static final String ENTRY_VARIABLE = "SARDINELIFT_ENTRY";
    static final String OPERATORS_VARIABLE = "SARDINELIFT_OPERATORS";
    static final String KEY_VARIABLE = "SARDINELIFT_KEY";
    static final String PEPPER_VARIABLE = "SARDINELIFT_PEPPER";

    ObjectStore objectStore() throws ParseException {
        return client.objectStore(Address.parse(requiredOption("platform", PLATFORM_VARIABLE)));
    }

    Address entryAddress() throws ParseException {
        return Address.parse(requiredOption("entry", ENTRY_VARIABLE));
    }

    List<Address> operatorAddresses() throws ParseException {
        return Address.parseList(requiredOption("operators", OPERATORS_VARIABLE));
    }

    Map<String, String> authorizationHeader() throws ParseException {
        return Map.of("authorization", "Bearer " + requiredOption("key", KEY_VARIABLE));
    }

    String requiredOption(String option, String variable) throws ParseException {
        return optionOrVariable(option, variable)
                .orElseThrow(
                        () ->
                                new ParseException(
                                        "--" + option + " is missing; set it or " + variable));
    }

    Optional<String> optionOrVariable(String option, String variable) {
        return Optional.ofNullable(line.getOptionValue(option))
                .or(() -> Optional.ofNullable(environment.get(variable)))
                .filter(value -> !value.isBlank());
    }

    String requiredOption(String option) throws ParseException {
        String value = line.getOptionValue(option);
        if (value == null) {
            throw new ParseException("--" + option + " is missing");
        }
        return value;
    }

    int intOption(String option, int defaultValue) throws ParseException {
        String value = line.getOptionValue(option);
        if (value == null) {
            return defaultValue;
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

    boolean isJsonOutput() {
        return "json".equals(line.getOptionValue("output"));
    }

    /** Reads the text of a file, or of standard input if the name is {@code -}. */
    String readText(String file) throws ParseException {
        try {
            return file.equals("-")
                    ? new String(in.readAllBytes(), StandardCharsets.UTF_8)
                    : Files.readString(Path.of(file));
        } catch (IOException e) {
            throw new ParseException(file + " can't be read as UTF-8 text: " + e);
        }
    }
}
