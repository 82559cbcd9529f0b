/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.TreeNode;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.util.Arrays;
import java.util.function.Function;
import org.larkkeel.config.Change;
import org.larkkeel.config.ChangeCodec;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationDocument;
import org.larkkeel.config.Diff;
import org.larkkeel.config.JsonPath;
import org.larkkeel.config.ObjectId;
import org.larkkeel.config.ObjectWriter;
import org.larkkeel.config.Problem;
import org.larkkeel.config.Problems;
import org.larkkeel.config.Role;
import org.larkkeel.config.Severity;
import org.larkkeel.errors.Slugs;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Incarnation;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;

/**
 * Converts the bodies of the operators' API to and from JSON, for server and client.
 *
 * <p>Unknown members are ignored. Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class OperatorCodec {
  private static final String SOURCE = "answer";
  private static final ObjectMapper MAPPER =
      new ObjectMapper()
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .registerModule(module());

  private OperatorCodec() {}

  /**
   * Writes a body as compact JSON.
   *
   * @param body one of the records of this package, a change or a configuration
   * @return the JSON text in UTF-8
   */
  public static byte[] write(Object body) {
    try {
      return MAPPER.writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a body of the operators' API as JSON", e);
    }
  }

  /**
   * Writes a body as indented JSON for human readers.
   *
   * @param body one of the records of this package, a change or a configuration
   * @return the JSON text with one member per line
   */
  public static String writePretty(Object body) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(body);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot write a body of the operators' API as JSON", e);
    }
  }

  /**
   * Reads a body.
   *
   * @param body the JSON text in UTF-8
   * @param type the type of the body
   * @param <T> the type of the body
   * @return the body
   * @throws IOException if the body is not valid JSON for the type
   */
  public static <T> T read(byte[] body, Class<T> type) throws IOException {
    return MAPPER.readValue(body, type);
  }

  private static SimpleModule module() {
    SimpleModule module = new SimpleModule();
    addText(module, HostName.class, HostName::value, HostName::new);
    addText(module, DataCentreName.class, DataCentreName::value, DataCentreName::new);
    addText(module, PoolName.class, PoolName::value, PoolName::new);
    addText(module, UpstreamName.class, UpstreamName::value, UpstreamName::new);
    addText(module, JsonPath.class, JsonPath::pointer, JsonPath::new);
    addText(module, ObjectId.class, ObjectId::toString, ObjectId::parse);
    addNumber(module, Revision.class, Revision::value, Revision::new);
    addNumber(module, Incarnation.class, Incarnation::value, Incarnation::new);
    addEnum(module, Role.class);
    addEnum(module, Severity.class);
    addEnum(module, Diff.Type.class);
    addEnum(module, NodeStatus.Phase.class);
    addEnum(module, NodeStatus.StoreState.class);
    addEnum(module, NodeStatus.UpstreamPhase.class);
    addEnum(module, RouteExplanation.Verdict.class);
    addTree(
        module,
        Change.class,
        ChangeCodec::toJson,
        text -> ChangeCodec.readAccepted(SOURCE, text).orThrow());
    addTree(
        module,
        Configuration.class,
        ObjectWriter::toJson,
        text -> ConfigurationDocument.readAccepted(SOURCE, text).orThrow());
    module.addSerializer(Problems.class, writer((problems, out) -> out.writePOJO(problems.all())));
    module.addDeserializer(
        Problems.class,
        reader(in -> new Problems(ImmutableList.copyOf(in.readValueAs(Problem[].class)))));
    module.addSerializer(Diff.FieldDiff.class, writer(OperatorCodec::writeField));
    return module;
  }

  private static void writeField(Diff.FieldDiff field, JsonGenerator out) throws IOException {
    out.writeStartObject();
    out.writeStringField("path", field.path().pointer());
    out.writeFieldName("before");
    out.writeRawValue(field.before().orElse("null"));
    out.writeFieldName("after");
    out.writeRawValue(field.after().orElse("null"));
    out.writeEndObject();
  }

  private static <T> void addText(
      SimpleModule module, Class<T> type, Function<T, String> write, Function<String, T> read) {
    module.addSerializer(type, writer((value, out) -> out.writeString(write.apply(value))));
    module.addDeserializer(type, reader(in -> read.apply(in.getText())));
  }

  private static <T> void addNumber(
      SimpleModule module, Class<T> type, Function<T, Long> write, Function<Long, T> read) {
    module.addSerializer(type, writer((value, out) -> out.writeNumber(write.apply(value))));
    module.addDeserializer(type, reader(in -> read.apply(in.getLongValue())));
  }

  private static <E extends Enum<E>> void addEnum(SimpleModule module, Class<E> type) {
    addText(module, type, Slugs::of, text -> constant(type, text));
  }

  private static <E extends Enum<E>> E constant(Class<E> type, String text) {
    return Arrays.stream(type.getEnumConstants())
        .filter(constant -> Slugs.of(constant).equals(text))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException(text + " is no " + type.getSimpleName()));
  }

  private static <T> void addTree(
      SimpleModule module, Class<T> type, Function<T, TreeNode> write, Function<String, T> read) {
    module.addSerializer(type, writer((value, out) -> out.writeTree(write.apply(value))));
    module.addDeserializer(
        type, reader(in -> read.apply(in.<TreeNode>readValueAsTree().toString())));
  }

  /** Writes one value to a JSON generator. */
  private interface ValueWriter<T> {
    void write(T value, JsonGenerator out) throws IOException;
  }

  /** Reads one value from a JSON parser. */
  private interface ValueReader<T> {
    T read(JsonParser in) throws IOException;
  }

  private static <T> JsonSerializer<T> writer(ValueWriter<T> valueWriter) {
    return new JsonSerializer<>() {
      @Override
      public void serialize(T value, JsonGenerator out, SerializerProvider provider)
          throws IOException {
        valueWriter.write(value, out);
      }
    };
  }

  private static <T> JsonDeserializer<T> reader(ValueReader<T> valueReader) {
    return new JsonDeserializer<>() {
      @Override
      public T deserialize(JsonParser in, DeserializationContext context) throws IOException {
        try {
          return valueReader.read(in);
        } catch (IllegalArgumentException e) {
          throw context.weirdStringException(in.getText(), handledType(), e.getMessage());
        }
      }
    };
  }
}
