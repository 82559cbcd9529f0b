/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * The name and help texts of a subcommand.
 *
 * @since 0.1
 */
@Retention(RetentionPolicy.RUNTIME)
@Target(ElementType.TYPE)
public @interface CommandInfo {
  /**
   * The name on the command line.
   *
   * @return the name
   */
  String name();

  /**
   * The description of the command.
   *
   * @return one sentence
   */
  String summary();

  /**
   * An example of a command line.
   *
   * @return the example
   */
  String example();
}
