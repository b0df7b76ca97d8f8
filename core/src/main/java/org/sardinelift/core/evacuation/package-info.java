/** Which availability zones are evacuated. */
@NullMarked
package org.sardinelift.core.evacuation;

import org.jspecify.annotations.NullMarked;
