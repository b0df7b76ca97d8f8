/** Configuration objects: files, checks, differences, conditional writes. */
@NullMarked
package org.sardinelift.ctl.config;

import org.jspecify.annotations.NullMarked;
