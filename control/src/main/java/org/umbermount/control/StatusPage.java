package org.umbermount.control;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.Consumer;

/** The page that shows a controller's state to an operator; other parts add what they know. */
public interface StatusPage {
    /** Adds a function that writes its part of the page's JSON object each time the page is shown. */
    void addSection(Consumer<ObjectNode> section);
}
