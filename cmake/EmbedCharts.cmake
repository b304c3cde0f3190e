# Writes the texts of charts as string constants. Run as a script:
#   cmake -DOUTPUT=file -DCHARTS=folder -P EmbedCharts.cmake
set(content "#include \"wagtailslip/rollout/embedded_charts.h\"\n\nnamespace wagtailslip::rollout {\n")
foreach(pair "kRolloutChartText=rollout" "kReplicaChartText=replica")
  string(REPLACE "=" ";" parts "${pair}")
  list(GET parts 0 constant)
  list(GET parts 1 chart)
  file(READ "${CHARTS}/${chart}.chart" text)
  string(APPEND content "const std::string_view ${constant} = R\"chart(${text})chart\";\n")
endforeach()
string(APPEND content "}  // namespace wagtailslip::rollout\n")
file(WRITE "${OUTPUT}" "${content}")
