package org.sardinelift.ctl.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import org.sardinelift.core.catalog.ConfigRef;

/**
 * One object of a configuration file.
 *
 * @param ref its kind and name
 * @param version version that the object must still have at the platform, empty for any
 * @param isDeletion whether the object is to be deleted
 * @param value value to write, without fields for a deletion
 */
public record ConfigEntry(
        ConfigRef ref, OptionalLong version, boolean isDeletion, ObjectNode value) {}
