/** Reads settings files: JSON with comments, with all errors of a file reported at once. */
@NullMarked
package org.sardinelift.settings;

import org.jspecify.annotations.NullMarked;
