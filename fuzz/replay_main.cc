// Runs a fuzz target on every file of the folders given, so that the seed corpus needs no clang.
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);

int main(int argc, char** argv) {
  int count = 0;
  for (int i = 1; i < argc; ++i) {
    for (const auto& it : std::filesystem::directory_iterator(argv[i])) {
      std::ifstream in(it.path(), std::ios::binary);
      const std::string bytes{std::istreambuf_iterator<char>(in), {}};
      // Printed first, so that a crash names its input.
      std::cout << it.path().filename().string() << std::endl;
      LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
      ++count;
    }
  }
  std::cout << count << " inputs passed\n";
  return count > 0 ? 0 : 1;
}
