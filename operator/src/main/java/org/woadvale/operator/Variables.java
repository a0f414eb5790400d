package org.woadvale.operator;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The variables of one run: values given by the operator and values stored by earlier steps. */
final class Variables {
    static final Pattern REFERENCE = Pattern.compile("\\$\\{([a-zA-Z][a-zA-Z0-9]*)}");
    private final Map<String, String> values;

    Variables(Map<String, String> given) {
        values = new HashMap<>(given);
    }

    void put(String name, String value) {
        values.put(name, value);
    }

    String get(String name) {
        return values.getOrDefault(name, "");
    }

    Variables with(String name, String value) {
        Variables variables = new Variables(values);
        variables.put(name, value);
        return variables;
    }

    String substitute(String text) {
        return REFERENCE.matcher(text).replaceAll(match -> Matcher.quoteReplacement(get(match.group(1))));
    }
}
