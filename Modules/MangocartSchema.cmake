# Target `schema`: makes Source/Schema/Generated anew from the .proto files.
# The generated code is committed, so an ordinary build needs no protoc.
find_program(MANGOCART_PROTOC protoc)
set(MANGOCART_SCHEMA_DIR "${PROJECT_SOURCE_DIR}/Source/Schema")
file(GLOB MANGOCART_PROTO_FILES CONFIGURE_DEPENDS
  "${MANGOCART_SCHEMA_DIR}/*.proto")
if(MANGOCART_PROTOC)
  add_custom_target(schema
    COMMAND "${MANGOCART_PROTOC}" "--proto_path=${MANGOCART_SCHEMA_DIR}"
      "--cpp_out=${MANGOCART_SCHEMA_DIR}/Generated" ${MANGOCART_PROTO_FILES}
    VERBATIM)
endif()
