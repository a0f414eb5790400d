package org.woadvale.common.rpc;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name that a component had when the first format was written, which stored components in the order of their names.
 * Needed where the current name sorts differently (docs/design.md, section 3.4).
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.RECORD_COMPONENT)
public @interface FirstFormatName {
    /** The former name. */
    String value();
}
